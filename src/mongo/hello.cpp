#include "hello.h"

#include "bson.h"

namespace gorsebeam::mongo {
namespace {

// The highest wire version is that of MongoDB 6.0. With the wire versions of MongoDB 4.4 and later,
// drivers decide by the labels of an error whether they retry a write.
constexpr std::int32_t kMinWireVersion = 0;
constexpr std::int32_t kMaxWireVersion = 17;
constexpr std::int32_t kMaxWriteBatchSize = 1000;
constexpr std::int32_t kLogicalSessionTimeoutMinutes = 30;

}  // namespace

std::optional<std::string> application_name(std::string_view hello) {
  const std::optional<Element> client = find(hello, "client");
  if (!client || client->type != ElementType::Document)
    return std::nullopt;
  const std::optional<Element> application = find(client->value, "application");
  if (!application || application->type != ElementType::Document)
    return std::nullopt;
  const std::optional<Element> name = find(application->value, "name");
  return name ? std::optional(to_text(*name)) : std::nullopt;
}

std::string encode_hello_reply(std::size_t max_message_size, TimePoint now) {
  const auto max_size = static_cast<std::int32_t>(max_message_size);
  Writer reply;
  reply.append_bool("helloOk", true);
  reply.append_bool("ismaster", true);
  reply.append_bool("isWritablePrimary", true);
  // "isdbgrid" marks the gateway as a router, so that drivers do not select servers themselves.
  reply.append_string("msg", "isdbgrid");
  reply.append_int32("maxBsonObjectSize", max_size);
  reply.append_int32("maxMessageSizeBytes", max_size);
  reply.append_int32("maxWriteBatchSize", kMaxWriteBatchSize);
  reply.append_date("localTime", now.time_since_epoch() / 1ms);
  reply.append_int32("logicalSessionTimeoutMinutes", kLogicalSessionTimeoutMinutes);
  reply.append_int32("connectionId", 1);
  reply.append_int32("minWireVersion", kMinWireVersion);
  reply.append_int32("maxWireVersion", kMaxWireVersion);
  reply.append_bool("readOnly", false);
  reply.append_double("ok", 1);
  return reply.finish();
}

}  // namespace gorsebeam::mongo
