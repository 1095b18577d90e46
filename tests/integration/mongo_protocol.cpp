/// MongoDB's wire protocol (OP_MSG, OP_QUERY) for test clients and stub endpoints, from its public
/// description.
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
using gorsebeam::mongo::integer;
using gorsebeam::mongo::Reader;
using gorsebeam::mongo::truth;
using gorsebeam::mongo::Writer;

std::string encode_little_endian(std::uint32_t value) {
  return gorsebeam::mongo::u32(value);
}

std::string mongo_message(const std::string& document, std::uint32_t answers) {
  return encode_little_endian(static_cast<std::uint32_t>(21 + document.size())) +
         encode_little_endian(77) + encode_little_endian(answers) + encode_little_endian(2013) +
         encode_little_endian(0) + '\0' + document;
}

class MongoProtocol : public Protocol {
public:
  const char* name() const override { return "mongo"; }

  std::string client_handshake() const override {  // as drivers open: OP_QUERY on admin.$cmd
    const std::string application =
        Writer().document("application", Writer().text("name", "portal").take()).take();
    const std::string body =
        Writer().small("isMaster", 1).truth("helloOk", true).document("client", application).take();
    const std::string rest = encode_little_endian(4) + std::string("admin.$cmd\0", 11) +
                             encode_little_endian(0) + encode_little_endian(0xffffffff) + body;
    return encode_little_endian(static_cast<std::uint32_t>(16 + rest.size())) +
           encode_little_endian(1) + encode_little_endian(0) + encode_little_endian(2004) + rest;
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

  std::optional<ClientResult> decode_response(std::string& input,
                                              std::string& value) const override {
    while (input.size() >= 16 && input.size() >= gorsebeam::mongo::read_u32(input.data())) {
      const std::string message = input.substr(0, gorsebeam::mongo::read_u32(input.data()));
      input.erase(0, message.size());
      if (gorsebeam::mongo::read_u32(message.data() + 12) == 1)
        continue;  // OP_REPLY, to the handshake
      const std::string document = message.substr(21);
      if (!gorsebeam::mongo::well_formed(document)) {
        report_callback_failure("the gateway sent a client a malformed document");
        return std::nullopt;
      }
      if (const auto by = find(document, "value"))
        value = by->value;
      if (*truth(*find(document, "ok")))
        return ClientResult::Served;
      return *integer(*find(document, "code")) == 462 ? ClientResult::Rejected
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
    if (!gorsebeam::mongo::well_formed(document)) {
      report_callback_failure("the gateway sent an endpoint a malformed document");
      return false;
    }
    last_message_id_ = gorsebeam::mongo::read_u32(message.data() + 4);
    Element first;
    Reader(document).next(first);
    if (first.name == "hello") {
      const std::string last =
          Writer().large("lastWriteDate", now_ms() - replication.lag_ms, '\x09').take();
      reply = mongo_message(Writer()
                                .truth("isWritablePrimary", replication.is_primary)
                                .truth("secondary", !replication.is_primary)
                                .document("lastWrite", last)
                                .real("ok", 1)
                                .take(),
                            last_message_id_);
      return true;
    }
    const std::string_view annotations = find(document, "comment")->value;
    request = Request{
        std::string(find(annotations, "id")->value), std::string(find(annotations, "c")->value), "",
        static_cast<int>(*integer(*find(document, "maxTimeMS"))), first.name == "insert"};
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
      return mongo_message(
          Writer().real("ok", 0).text("errmsg", "scripted").small("code", code).take(),
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
      return mongo_message(Writer().real("ok", 1).text("value", text).take(), last_message_id_);
    }
    case ScriptedResponse::Garbage:
      return encode_little_endian(24) + encode_little_endian(1) +
             encode_little_endian(last_message_id_) + encode_little_endian(2013) + "nonsense";
    default:
      break;
    }
    const std::int64_t seconds = (now_ms() - replication.lag_ms) / 1000;
    const std::string good =
        mongo_message(Writer().real("ok", 1).text("value", value).take(), last_message_id_);
    if (response == ScriptedResponse::Duplicate)
      return good +
             mongo_message(Writer().real("ok", 1).text("value", "a copy").take(), last_message_id_);
    if (response == ScriptedResponse::MalformedReport)
      return mongo_message(
          Writer().real("ok", 1).text("value", value).text("operationTime", "nonsense").take(),
          last_message_id_);
    return mongo_message(Writer()
                             .real("ok", 1)
                             .text("value", value)
                             .large("operationTime", seconds << 32 | 1, '\x11')
                             .take(),
                         last_message_id_);
  }

  std::string encode_unsolicited_message() const override {
    return mongo_message(Writer().real("ok", 1).text("value", "unasked").take(), last_message_id_);
  }

private:
  mutable std::uint32_t last_message_id_ = 0;  // of the message that the next response answers
};

}  // namespace

const Protocol& mongo() {
  static const MongoProtocol kProtocol;
  return kProtocol;
}

}  // namespace test_harness
