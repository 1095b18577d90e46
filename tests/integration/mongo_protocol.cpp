/// MongoDB's wire protocol (OP_MSG, OP_QUERY) for test clients and stub endpoints, from its public
/// description.
#include "protocol.h"

#include "event_wait.h"

#include "mongo/bson.h"

#include <glib.h>

namespace test_harness {
namespace {

// The operation codes of message headers.
constexpr std::uint32_t kOpReply = 1;
constexpr std::uint32_t kOpQuery = 2004;
constexpr std::uint32_t kOpMsg = 2013;

constexpr std::size_t kHeaderBytes = 16;
constexpr std::size_t kOpMsgDocumentOffset = 21;  // after the flag bits and the section's kind

// MongoDB's error codes.
constexpr int kUnknownError = 8;
constexpr int kRateLimitExceeded = 462;
constexpr int kNotWritablePrimary = 10107;

std::int64_t now_ms() {
  return g_get_real_time() / 1000;
}

using gorsebeam::mongo::Element;
using gorsebeam::mongo::find;
using gorsebeam::mongo::read_u32;
using gorsebeam::mongo::Reader;
using gorsebeam::mongo::to_bool;
using gorsebeam::mongo::to_integer;
using gorsebeam::mongo::Writer;

std::string encode_little_endian(std::uint32_t value) {
  return gorsebeam::mongo::encode_u32(value);
}

std::string encode_header(std::size_t message_bytes, std::uint32_t message_id,
                          std::uint32_t response_to, std::uint32_t operation) {
  return encode_little_endian(static_cast<std::uint32_t>(message_bytes)) +
         encode_little_endian(message_id) + encode_little_endian(response_to) +
         encode_little_endian(operation);
}

std::string encode_op_msg(const std::string& document, std::uint32_t response_to) {
  constexpr std::uint32_t kMessageId = 77;
  constexpr std::uint32_t kNoFlagBits = 0;
  constexpr char kBodySection = '\0';
  return encode_header(kOpMsgDocumentOffset + document.size(), kMessageId, response_to, kOpMsg) +
         encode_little_endian(kNoFlagBits) + kBodySection + document;
}

// Removes one complete message from `input`; none while it is incomplete.
std::optional<std::string> extract_message(std::string& input) {
  if (input.size() < kHeaderBytes || input.size() < read_u32(input.data()))
    return std::nullopt;
  std::string message = input.substr(0, read_u32(input.data()));
  input.erase(0, message.size());
  return message;
}

Request decode_request(const std::string& document, std::string_view command) {
  const std::string_view annotations = find(document, "comment")->value;
  Request request{std::string(find(annotations, "id")->value),
                  std::string(find(annotations, "c")->value), "",
                  static_cast<int>(*to_integer(*find(document, "maxTimeMS"))), command == "insert"};
  if (const auto key = find(annotations, "k"))
    request.idempotency_key = key->value;
  // A replica responds only to reads whose read preference allows replicas.
  const std::string_view read_mode = find(find(document, "$readPreference")->value, "mode")->value;
  if (!request.is_write && read_mode != "primaryPreferred")
    report_callback_failure("the gateway sent read " + request.id + " with read preference " +
                            std::string(read_mode) + ", not primaryPreferred");
  return request;
}

class MongoProtocol : public Protocol {
public:
  const char* name() const override { return "mongo"; }

  // Drivers open a connection with a command in an OP_QUERY message on admin.$cmd.
  std::string client_handshake() const override {
    constexpr std::uint32_t kSecondaryOk = 4;
    constexpr std::uint32_t kSkipNone = 0;
    constexpr std::uint32_t kReturnOne = 0xffffffff;  // -1: one document, without a cursor
    const std::string application =
        Writer()
            .append_document("application", Writer().append_string("name", "portal").finish())
            .finish();
    const std::string body = Writer()
                                 .append_int32("isMaster", 1)
                                 .append_bool("helloOk", true)
                                 .append_document("client", application)
                                 .finish();
    const std::string query = encode_little_endian(kSecondaryOk) + std::string("admin.$cmd\0", 11) +
                              encode_little_endian(kSkipNone) + encode_little_endian(kReturnOne) +
                              body;
    return encode_header(kHeaderBytes + query.size(), 1, 0, kOpQuery) + query;
  }

  std::string encode_request(const Request& request) const override {
    Writer annotations;
    annotations.append_string("id", request.id)
        .append_string("c", request.service_class)
        .append_string("cluster", "0");
    if (request.is_write)
      annotations.append_string("k", key_of(request));
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
    return encode_op_msg(command.finish(), 0);
  }

  std::optional<ClientResponse> decode_response(std::string& input) const override {
    while (const auto message = extract_message(input)) {
      if (read_u32(message->data() + 12) == kOpReply)
        continue;  // the reply to the handshake
      const std::string document = message->substr(kOpMsgDocumentOffset);
      if (!gorsebeam::mongo::is_well_formed(document)) {
        report_callback_failure("the gateway sent a client a malformed document of " +
                                std::to_string(document.size()) + " bytes");
        return std::nullopt;
      }
      ClientResponse response;
      if (const auto value = find(document, "value"))
        response.value = value->value;
      if (!*to_bool(*find(document, "ok")))
        response.result = *to_integer(*find(document, "code")) == kRateLimitExceeded
                              ? ClientResult::Rejected
                              : ClientResult::Failed;
      return response;
    }
    return std::nullopt;
  }

  std::optional<EndpointMessage>
  decode_endpoint_message(std::string& input, const ReplicationStatus& replication) const override {
    const auto message = extract_message(input);
    if (!message)
      return std::nullopt;
    const std::string document = message->substr(kOpMsgDocumentOffset);
    if (!gorsebeam::mongo::is_well_formed(document)) {
      report_callback_failure("the gateway sent an endpoint a malformed document of " +
                              std::to_string(document.size()) + " bytes");
      return std::nullopt;
    }
    last_message_id_ = read_u32(message->data() + 4);
    const Element first = Reader(document).next().value_or(Element{});
    if (first.name == "hello")
      return EndpointMessage{std::nullopt, encode_hello_reply(replication)};
    return EndpointMessage{decode_request(document, first.name), ""};
  }

  std::string encode_response(ScriptedResponse response, const ReplicationStatus& replication,
                              const std::string& value) const override {
    switch (response) {
    case ScriptedResponse::RejectNotPrimary:
      return encode_error(kNotWritablePrimary);
    case ScriptedResponse::Fail:
      return encode_error(kUnknownError);
    case ScriptedResponse::RejectOverloaded:
      return encode_error(kRateLimitExceeded);
    case ScriptedResponse::Truncated:
      return encode_header(90, 1, last_message_id_, kOpMsg) + encode_little_endian(0);
    case ScriptedResponse::OversizedLength:
      return encode_header(0xc0000000, 1, last_message_id_, kOpMsg) + "and so on";
    case ScriptedResponse::Garbage:
      return encode_header(24, 1, last_message_id_, kOpMsg) + "nonsense";
    case ScriptedResponse::UnboundedResponse:
      return encode_value(std::string(400'000, 'x'));
    case ScriptedResponse::Duplicate:
      return encode_value(value) + encode_value("a copy");
    case ScriptedResponse::MalformedReport:
      return encode_op_msg(Writer()
                               .append_double("ok", 1)
                               .append_string("value", value)
                               .append_string("operationTime", "nonsense")
                               .finish(),
                           last_message_id_);
    default:
      return encode_success(replication, value);
    }
  }

  std::string encode_unsolicited_message() const override { return encode_value("unsolicited"); }

private:
  std::string encode_hello_reply(const ReplicationStatus& replication) const {
    const std::string last =
        Writer().append_date("lastWriteDate", now_ms() - replication.lag_ms).finish();
    return encode_op_msg(Writer()
                             .append_bool("isWritablePrimary", replication.is_primary)
                             .append_bool("secondary", !replication.is_primary)
                             .append_document("lastWrite", last)
                             .append_double("ok", 1)
                             .finish(),
                         last_message_id_);
  }

  std::string encode_error(int code) const {
    return encode_op_msg(Writer()
                             .append_double("ok", 0)
                             .append_string("errmsg", "scripted")
                             .append_int32("code", code)
                             .finish(),
                         last_message_id_);
  }

  std::string encode_value(const std::string& value) const {
    return encode_op_msg(Writer().append_double("ok", 1).append_string("value", value).finish(),
                         last_message_id_);
  }

  std::string encode_success(const ReplicationStatus& replication, const std::string& value) const {
    const std::int64_t seconds = (now_ms() - replication.lag_ms) / 1000;
    return encode_op_msg(
        Writer()
            .append_double("ok", 1)
            .append_string("value", value)
            .append_timestamp("operationTime", static_cast<std::uint32_t>(seconds), 1)
            .finish(),
        last_message_id_);
  }

  // The id of the last message that an endpoint has read, to which the next response belongs.
  mutable std::uint32_t last_message_id_ = 0;
};

}  // namespace

const Protocol& mongo() {
  static const MongoProtocol kProtocol;
  return kProtocol;
}

}  // namespace test_harness
