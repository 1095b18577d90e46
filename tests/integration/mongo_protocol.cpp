/// The stand-ins' side of MongoDB's wire protocol (OP_MSG, OP_QUERY), from its public description.
#include "protocol.h"

#include "event_wait.h"

#include "mongo/bson.h"

#include <glib.h>

namespace test_harness {
namespace {

std::int64_t now_ms() {
  return g_get_real_time() / 1000;
}

using gorsebeam::mongo::Element;
using gorsebeam::mongo::find;
using gorsebeam::mongo::Reader;
using gorsebeam::mongo::to_bool;
using gorsebeam::mongo::to_integer;
using gorsebeam::mongo::Writer;

std::string encode_little_endian(std::uint32_t value) {
  return gorsebeam::mongo::encode_u32(value);
}

std::string mongo_message(const std::string& document, std::uint32_t answers) {
  return encode_little_endian(static_cast<std::uint32_t>(21 + document.size())) +
         encode_little_endian(77) + encode_little_endian(answers) + encode_little_endian(2013) +
         encode_little_endian(0) + '\0' + document;
}

class MongoProtocol : public Protocol {
public:
  const char* name() const override { return "mongo"; }

  std::string client_greeting() const override {  // as drivers open: OP_QUERY on admin.$cmd
    const std::string application =
        Writer()
            .append_document("application", Writer().append_string("name", "portal").finish())
            .finish();
    const std::string body = Writer()
                                 .append_int32("isMaster", 1)
                                 .append_bool("helloOk", true)
                                 .append_document("client", application)
                                 .finish();
    const std::string rest = encode_little_endian(4) + std::string("admin.$cmd\0", 11) +
                             encode_little_endian(0) + encode_little_endian(0xffffffff) + body;
    return encode_little_endian(static_cast<std::uint32_t>(16 + rest.size())) +
           encode_little_endian(1) + encode_little_endian(0) + encode_little_endian(2004) + rest;
  }

  std::string encode_request(const Request& request) const override {
    Writer annotations;
    annotations.append_string("id", request.id)
        .append_string("c", request.service_class)
        .append_string("cluster", "0");
    if (request.is_write)
      annotations.append_string("k", request.idempotency_key);
    Writer command;
    const std::string document = Writer().append_string("code", "7f").finish();
    if (request.is_write)
      command.append_string("insert", "facts")
          .append_array("documents", Writer().append_document("0", document).finish());
    else
      command.append_string("find", "facts").append_document("filter", document);
    command.append_int32("maxTimeMS", request.timeout_ms)
        .append_string("$db", "crm")
        .append_document("comment", annotations.finish());
    command.append_document("$readPreference", Writer().append_string("mode", "primary").finish());
    command.append_document("lsid", Writer().append_string("id", "session-1").finish());
    return mongo_message(command.finish(), 0);
  }

  std::optional<ClientResult> decode_response(std::string& input,
                                              std::string& value) const override {
    while (input.size() >= 16 && input.size() >= gorsebeam::mongo::read_u32(input.data())) {
      const std::string message = input.substr(0, gorsebeam::mongo::read_u32(input.data()));
      input.erase(0, message.size());
      if (gorsebeam::mongo::read_u32(message.data() + 12) == 1)
        continue;  // OP_REPLY, to the greeting
      const std::string document = message.substr(21);
      if (!gorsebeam::mongo::is_well_formed(document)) {
        report_callback_failure("the gateway sent a client a malformed document");
        return std::nullopt;
      }
      if (const auto by = find(document, "value"))
        value = by->value;
      if (*to_bool(*find(document, "ok")))
        return ClientResult::Served;
      return *to_integer(*find(document, "code")) == 462 ? ClientResult::Rejected
                                                         : ClientResult::Failed;
    }
    return std::nullopt;
  }

  bool decode_endpoint_message(std::string& input, const ReplicationStatus& replication,
                               std::optional<Request>& request, std::string& reply) const override {
    if (input.size() < 16 || input.size() < gorsebeam::mongo::read_u32(input.data()))
      return false;
    const std::string message = input.substr(0, gorsebeam::mongo::read_u32(input.data()));
    input.erase(0, message.size());
    const std::string document = message.substr(21);
    if (!gorsebeam::mongo::is_well_formed(document)) {
      report_callback_failure("the gateway sent an endpoint a malformed document");
      return false;
    }
    last_message_id_ = gorsebeam::mongo::read_u32(message.data() + 4);
    const Element first = Reader(document).next().value_or(Element{});
    if (first.name == "hello") {
      const std::string last =
          Writer().append_date("lastWriteDate", now_ms() - replication.lag_ms).finish();
      reply = mongo_message(Writer()
                                .append_bool("isWritablePrimary", replication.is_primary)
                                .append_bool("secondary", !replication.is_primary)
                                .append_document("lastWrite", last)
                                .append_double("ok", 1)
                                .finish(),
                            last_message_id_);
      return true;
    }
    const std::string_view annotations = find(document, "comment")->value;
    request = Request{
        std::string(find(annotations, "id")->value), std::string(find(annotations, "c")->value), "",
        static_cast<int>(*to_integer(*find(document, "maxTimeMS"))), first.name == "insert"};
    if (const auto key = find(annotations, "k"))
      request->idempotency_key = key->value;
    // A replica responds only to reads that allow it.
    const std::string_view read_mode =
        find(find(document, "$readPreference")->value, "mode")->value;
    if (!request->is_write && read_mode != "primaryPreferred")
      report_callback_failure("a read was sent with read preference " + std::string(read_mode));
    return true;
  }

  std::string encode_response(ScriptedResponse response, const ReplicationStatus& replication,
                              const std::string& value) const override {
    const auto error = [this](int code) {
      return mongo_message(Writer()
                               .append_double("ok", 0)
                               .append_string("errmsg", "scripted")
                               .append_int32("code", code)
                               .finish(),
                           last_message_id_);
    };
    switch (response) {
    case ScriptedResponse::RejectNotPrimary:
      return error(10107);
    case ScriptedResponse::Fail:
      return error(8);
    case ScriptedResponse::RejectOverloaded:
      return error(462);
    case ScriptedResponse::Truncated:
      return encode_little_endian(90) + encode_little_endian(1) +
             encode_little_endian(last_message_id_) + encode_little_endian(2013) +
             encode_little_endian(0);
    case ScriptedResponse::OversizedLength:
      return encode_little_endian(0xc0000000) + encode_little_endian(1) +
             encode_little_endian(last_message_id_) + encode_little_endian(2013) + "and so on";
    case ScriptedResponse::UnboundedResponse: {
      const std::string text(400'000, 'x');
      return mongo_message(Writer().append_double("ok", 1).append_string("value", text).finish(),
                           last_message_id_);
    }
    case ScriptedResponse::Garbage:
      return encode_little_endian(24) + encode_little_endian(1) +
             encode_little_endian(last_message_id_) + encode_little_endian(2013) + "nonsense";
    default:
      break;
    }
    const std::int64_t seconds = (now_ms() - replication.lag_ms) / 1000;
    const std::string good = mongo_message(
        Writer().append_double("ok", 1).append_string("value", value).finish(), last_message_id_);
    if (response == ScriptedResponse::Duplicate)
      return good + mongo_message(
                        Writer().append_double("ok", 1).append_string("value", "a copy").finish(),
                        last_message_id_);
    if (response == ScriptedResponse::MalformedReport)
      return mongo_message(Writer()
                               .append_double("ok", 1)
                               .append_string("value", value)
                               .append_string("operationTime", "nonsense")
                               .finish(),
                           last_message_id_);
    return mongo_message(
        Writer()
            .append_double("ok", 1)
            .append_string("value", value)
            .append_timestamp("operationTime", static_cast<std::uint32_t>(seconds), 1)
            .finish(),
        last_message_id_);
  }

  std::string encode_unsolicited_message() const override {
    return mongo_message(Writer().append_double("ok", 1).append_string("value", "unasked").finish(),
                         last_message_id_);
  }

private:
  mutable std::uint32_t last_message_id_ = 0;  // the number of the message that is answered next
};

}  // namespace

const Protocol& mongo() {
  static const MongoProtocol kProtocol;
  return kProtocol;
}

}  // namespace test_harness
