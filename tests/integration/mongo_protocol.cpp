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
constexpr std::size_t kOpMsgDocumentOffset = 21;

// MongoDB's error codes.
constexpr int kUnknownError = 8;
constexpr int kRateLimitExceeded = 462;
constexpr int kNotWritablePrimary = 10107;

std::int64_t now_ms() {
  return g_get_real_time() / 1000;
}

using gorsebeam::mongo::Element;
using gorsebeam::mongo::find;
using gorsebeam::mongo::integer;
using gorsebeam::mongo::read_u32;
using gorsebeam::mongo::Reader;
using gorsebeam::mongo::truth;
using gorsebeam::mongo::Writer;

std::string encode_little_endian(std::uint32_t value) {
  return gorsebeam::mongo::u32(value);
}

std::string encode_header(std::size_t message_bytes, std::uint32_t message_id,
                          std::uint32_t response_to, std::uint32_t operation) {
  return encode_little_endian(static_cast<std::uint32_t>(message_bytes)) +
         encode_little_endian(message_id) + encode_little_endian(response_to) +
         encode_little_endian(operation);
}

std::string mongo_message(const std::string& document, std::uint32_t response_to) {
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
                  static_cast<int>(*integer(*find(document, "maxTimeMS"))), command == "insert"};
  if (const auto key = find(annotations, "k"))
    request.idempotency_key = key->value;
  // A replica responds only to reads that allow it.
  const std::string_view read_mode = find(find(document, "$readPreference")->value, "mode")->value;
  if (!request.is_write && read_mode != "primaryPreferred")
    report_callback_failure("a read was sent with read preference " + std::string(read_mode));
  return request;
}

class MongoProtocol : public Protocol {
public:
  const char* name() const override { return "mongo"; }

  std::string client_handshake() const override {  // as drivers open: OP_QUERY on admin.$cmd
    constexpr std::uint32_t kSecondaryOk = 4;
    constexpr std::uint32_t kSkipNone = 0;
    constexpr std::uint32_t kReturnOne = 0xffffffff;  // -1
    const std::string application =
        Writer().document("application", Writer().text("name", "portal").take()).take();
    const std::string body =
        Writer().small("isMaster", 1).truth("helloOk", true).document("client", application).take();
    const std::string query = encode_little_endian(kSecondaryOk) + std::string("admin.$cmd\0", 11) +
                              encode_little_endian(kSkipNone) + encode_little_endian(kReturnOne) +
                              body;
    return encode_header(kHeaderBytes + query.size(), 1, 0, kOpQuery) + query;
  }

  std::string encode_request(const Request& request) const override {
    Writer annotations;
    annotations.text("id", request.id).text("c", request.service_class).text("cluster", "0");
    if (request.is_write)
      annotations.text("k", request.idempotency_key);
    Writer command;
    const std::string document = Writer().text("code", "7f").take();
    if (request.is_write)
      command.text("insert", "facts")
          .document("documents", Writer().document("0", document).take(), '\x04');
    else
      command.text("find", "facts").document("filter", document);
    command.small("maxTimeMS", request.timeout_ms)
        .text("$db", "crm")
        .document("comment", annotations.take());
    command.document("$readPreference", Writer().text("mode", "primary").take());
    command.document("lsid", Writer().text("id", "session-1").take());
    return mongo_message(command.take(), 0);
  }

  std::optional<ClientResponse> decode_response(std::string& input) const override {
    while (const auto message = extract_message(input)) {
      if (read_u32(message->data() + 12) == kOpReply)
        continue;  // to the handshake
      const std::string document = message->substr(kOpMsgDocumentOffset);
      if (!gorsebeam::mongo::well_formed(document)) {
        report_callback_failure("the gateway sent a client a malformed document");
        return std::nullopt;
      }
      ClientResponse response;
      if (const auto value = find(document, "value"))
        response.value = value->value;
      if (!*truth(*find(document, "ok")))
        response.result = *integer(*find(document, "code")) == kRateLimitExceeded
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
    if (!gorsebeam::mongo::well_formed(document)) {
      report_callback_failure("the gateway sent an endpoint a malformed document");
      return std::nullopt;
    }
    last_message_id_ = read_u32(message->data() + 4);
    Element first;
    Reader(document).next(first);
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
      return mongo_message(
          Writer().real("ok", 1).text("value", value).text("operationTime", "nonsense").take(),
          last_message_id_);
    default:
      return encode_success(replication, value);
    }
  }

  std::string encode_unsolicited_message() const override { return encode_value("unasked"); }

private:
  std::string encode_hello_reply(const ReplicationStatus& replication) const {
    const std::string last =
        Writer().large("lastWriteDate", now_ms() - replication.lag_ms, '\x09').take();
    return mongo_message(Writer()
                             .truth("isWritablePrimary", replication.is_primary)
                             .truth("secondary", !replication.is_primary)
                             .document("lastWrite", last)
                             .real("ok", 1)
                             .take(),
                         last_message_id_);
  }

  std::string encode_error(int code) const {
    return mongo_message(
        Writer().real("ok", 0).text("errmsg", "scripted").small("code", code).take(),
        last_message_id_);
  }

  std::string encode_value(const std::string& value) const {
    return mongo_message(Writer().real("ok", 1).text("value", value).take(), last_message_id_);
  }

  std::string encode_success(const ReplicationStatus& replication, const std::string& value) const {
    const std::int64_t seconds = (now_ms() - replication.lag_ms) / 1000;
    return mongo_message(Writer()
                             .real("ok", 1)
                             .text("value", value)
                             .large("operationTime", seconds << 32 | 1, '\x11')
                             .take(),
                         last_message_id_);
  }

  mutable std::uint32_t last_message_id_ = 0;  // of the message that the next response answers
};

}  // namespace

const Protocol& mongo() {
  static const MongoProtocol kProtocol;
  return kProtocol;
}

}  // namespace test_harness
