#include "frontend.h"

#include "codec.h"

#include "frontend/session_hash.h"

#include <algorithm>
#include <array>
#include <utility>

namespace gorsebeam::mongo {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr std::int64_t kWaitMost = 3'600'000;  // ms
// What drivers read of a server's age: 4.4 to 6.0, which know retryable writes by the labels on
// errors.
constexpr std::int32_t kOldestWire = 0, kNewestWire = 17;

constexpr std::array kReads{"find", "count", "distinct"};
constexpr std::array kWrites{"insert", "update", "delete", "findAndModify", "findandmodify"};
constexpr std::array kHellos{"hello", "isMaster", "ismaster"};
constexpr std::array kServedHere{"ping", "endSessions"};
constexpr std::array kKnownElsewhere{"aggregate", "getMore",           "killCursors",
                                     "saslStart", "commitTransaction", "abortTransaction"};

template <typename Names>
bool among(std::string_view name, const Names& names) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// The same names and values that the platform's comments hold: a document, or a text
// "id=...,c=...,cluster=...".
struct Terms {
  std::string id, service_class, idempotency, group;
};

std::string plain(const Element& element) {
  if (element.type == '\x02')
    return std::string(element.value);
  const auto number = integer(element);
  return number ? std::to_string(*number) : "";
}

Terms read_terms(std::string_view command) {
  Terms terms;
  const auto comment = find(command, "comment");
  const auto set = [&terms](std::string_view name, const std::string& value) {
    if (name == "id")
      terms.id = value;
    if (name == "c")
      terms.service_class = value;
    if (name == "k")
      terms.idempotency = value;
    if (name == "cluster")
      terms.group = value;
  };
  if (comment && comment->type == '\x03') {
    Reader reader(comment->value);
    for (Element element; reader.next(element);)
      set(element.name, plain(element));
  } else if (comment && comment->type == '\x02') {
    for (std::string_view text = comment->value; !text.empty();) {
      const std::string_view pair = text.substr(0, text.find(','));
      text.remove_prefix(std::min(text.size(), pair.size() + 1));
      const std::size_t equals = pair.find('=');
      if (equals != std::string_view::npos)
        set(pair.substr(0, equals), std::string(pair.substr(equals + 1)));
    }
  }
  return terms;
}

class MongoConnection : public frontend::ClientConnection {
public:
  MongoConnection(frontend::Frontend& frontend, net::SocketHandle socket,
                  proxy::ContractEnforcer& terms)
      : ClientConnection(frontend, std::move(socket)), terms_(terms) {}

  // The message as the client sent it, but for three fields of its command: the time to wait, which
  // is written anew; a read's $readPreference, as replicas serve only reads that allow it; and a
  // checksum, as the head is another.
  proxy::Parts body(Nanos left) override {
    Message m;
    OpMsg msg;
    read_message(stream_->input().view(), frontend_.limits().message_bytes, m);
    read_op_msg(m.payload, msg);
    proxy::Parts parts{rewritten_, msg.before, rewritten_};
    std::size_t size = 5;
    Reader reader(msg.body);
    for (Element element; reader.next(element);) {
      if (element.name == "maxTimeMS" || (read_ && element.name == "$readPreference"))
        continue;
      size += element.whole.size();
      // Neighbours go out as one piece.
      if (parts.size() > 3 && parts.back().data() + parts.back().size() == element.whole.data())
        parts.back() = {parts.back().data(), parts.back().size() + element.whole.size()};
      else
        parts.push_back(element.whole);
    }
    Writer added;
    added.large("maxTimeMS", std::max<Nanos>(left / kMs, 1));
    if (read_)
      added.document("$readPreference", Writer().text("mode", "primaryPreferred").take());
    const std::string& extra = added.elements();
    // Flags; then the kind and the length of the command; then what was added, and the end.
    rewritten_ =
        u32(0) + '\0' + u32(static_cast<std::uint32_t>(size + extra.size())) + extra + '\0';
    const std::string_view all = rewritten_;
    parts[0] = all.substr(0, 4);
    parts[2] = all.substr(4, 5);
    parts.push_back(all.substr(9));
    parts.push_back(msg.after);
    return parts;
  }

  void respond(const proxy::Parts& value) override {
    std::size_t size = 4;
    for (const std::string_view part : value)
      size += part.size();
    const std::string head = header(size, ++sent_, request_id_, kOpMsg) + u32(0);
    proxy::Parts parts{head};
    parts.insert(parts.end(), value.begin(), value.end());
    stream_->write(parts);
    finish();
  }

  void reject(Nanos retry_after) override {
    // Drivers send a write again on the first label, and it is harmless; newer ones wait on the
    // second.
    const std::string labels =
        Writer().text("0", "RetryableWriteError").text("1", "SystemOverloadedError").take();
    Writer reply =
        fault(kRateLimitExceeded, "IngressRequestRateLimitExceeded", "refused: try again");
    reply.document("errorLabels", labels, '\x04');
    if (retry_after > 0)
      reply.large("retryAfterMS", retry_after / kMs);
    answer(reply);
    finish();
  }

  void fail() override {
    answer(fault(kNetworkTimeout, "NetworkTimeout", "failed: the effect is not known"));
    finish();
  }

private:
  static Writer fault(std::int32_t code, const char* name, const std::string& text) {
    return Writer().real("ok", 0).text("errmsg", text).small("code", code).text("codeName", name);
  }

  void answer(const Writer& reply) { stream_->write({op_msg(reply.take(), ++sent_, request_id_)}); }

  void finish() {
    stream_->input().consume(message_size_);
    finish_request();
  }

  void decline(std::int32_t code, const char* name, const std::string& text) {
    answer(fault(code, name, text));
    stream_->input().consume(message_size_);
  }

  void send_closing_error(const char* reason) override { reject(reason); }

  // What cannot be read, or not be answered in the protocol: told where it can be, and the
  // connection closed.
  void reject(const std::string& text) {
    answer(fault(kInvalidBson, "InvalidBSON", text));
    close_when_written();
  }

  void parse() override {
    Message m;
    switch (read_message(stream_->input().view(), frontend_.limits().message_bytes, m)) {
    case Framing::More:
      return;
    case Framing::Malformed:
      return reject("a message is malformed or too long");
    case Framing::Whole:
      break;
    }
    request_id_ = m.id;
    message_size_ = m.size;
    if (m.operation == kOpQuery)
      return query(m);
    OpMsg msg;
    if (m.operation != kOpMsg)
      return reject("only OP_MSG is served");
    if (!read_op_msg(m.payload, msg))
      return reject("a message is malformed");
    // Nothing may be said to one that wants no answer, not even that it failed: every request has a
    // final answer.
    if (msg.flags & kMoreToCome)
      return close_when_written();
    command(msg.body);
  }

  // Drivers open with the old form and go over to OP_MSG once they are told that it is served.
  void query(const Message& m) {
    std::string_view body;
    if (!read_op_query(m.payload, body))
      return reject("a query is malformed");
    Element first;
    Reader(body).next(first);
    const bool hello = among(first.name, kHellos);
    const Writer reply = hello ? greet(body)
                               : fault(kUnsupportedOpQuery, "UnsupportedOpQueryCommand",
                                       "only a greeting may be an OP_QUERY");
    stream_->write({op_reply(reply.take(), ++sent_, request_id_)});
    stream_->input().consume(message_size_);
    if (is_over_limit())
      close_when_written();
  }

  Writer greet(std::string_view body) {
    if (is_over_limit())
      return fault(kRateLimitExceeded, "IngressRequestRateLimitExceeded", "too many connections");
    if (const auto client = find(body, "client"); client && client->type == '\x03')
      if (const auto application = find(client->value, "application");
          application && application->type == '\x03')
        if (const auto name = find(application->value, "name"))
          team_ = plain(*name);
    Writer reply;
    reply.truth("helloOk", true).truth("ismaster", true).truth("isWritablePrimary", true);
    reply.text("msg",
               "isdbgrid");  // a router before groups: drivers leave the choice of member to us
    reply.small("maxBsonObjectSize", static_cast<std::int32_t>(frontend_.limits().message_bytes));
    reply.small("maxMessageSizeBytes", static_cast<std::int32_t>(frontend_.limits().message_bytes));
    reply.small("maxWriteBatchSize", 1000).large("localTime", net::now() / kMs, '\x09');
    reply.small("logicalSessionTimeoutMinutes", 30).small("connectionId", 1);
    reply.small("minWireVersion", kOldestWire)
        .small("maxWireVersion", kNewestWire)
        .truth("readOnly", false);
    return reply.real("ok", 1);
  }

  void command(std::string_view body) {
    Element first;
    if (!Reader(body).next(first))
      return decline(kFailedToParse, "FailedToParse", "the command is empty");
    if (among(first.name, kHellos)) {
      answer(greet(body));
      stream_->input().consume(message_size_);
      return is_over_limit() ? close_when_written() : void();
    }
    if (is_over_limit()) {
      answer(fault(kRateLimitExceeded, "IngressRequestRateLimitExceeded", "too many connections"));
      return close_when_written();
    }
    if (among(first.name, kServedHere) || first.name == "buildInfo" || first.name == "buildinfo") {
      Writer reply;
      if (first.name.substr(0, 5) == "build")
        reply.text("version", "6.0.0");
      answer(reply.real("ok", 1));
      return stream_->input().consume(message_size_);
    }
    read_ = among(first.name, kReads);
    if (!read_ && !among(first.name, kWrites)) {
      if (among(first.name, kKnownElsewhere))
        return decline(kNotSupported, "CommandNotSupported",
                       std::string(first.name) + " is not served");
      return decline(kCommandNotFound, "CommandNotFound",
                     "no such command: '" + std::string(first.name) + "'");
    }
    request(body);
  }

  void request(std::string_view body) {
    const Terms terms = read_terms(body);
    const auto parse_error = [this](const char* text) {
      decline(kFailedToParse, "FailedToParse", text);
    };
    const auto found = terms_.classes().find(terms.service_class);
    char* end = nullptr;
    const unsigned long long group = std::strtoull(terms.group.c_str(), &end, 10);
    if (find(body, "startTransaction") || find(body, "autocommit"))
      return decline(kNotSupported, "CommandNotSupported", "transactions are not served");
    if (terms.id.empty())
      return parse_error("the command's comment holds no id");
    if (found == terms_.classes().end())
      return parse_error("the command's comment names no known class");
    if (terms.group.empty() || *end != '\0' || group > 0xffffffffu)
      return parse_error("the command's comment names no cluster");
    const RequestClass& c = frontend_.broker().settings().classes[found->second];
    if (read_ != (c.consistency != ConsistencyLevel::Write))
      return parse_error("the command does not fit its class");
    const auto session = find(body, "lsid");
    const bool named = session && session->type == '\x03';
    // The protocol's own key for a write that may be repeated: its session and its number in it.
    if (c.idempotency == Idempotency::IdempotencyKey && terms.idempotency.empty() &&
        !(named && find(body, "txnNumber")))
      return parse_error("the class needs a key: k in the comment, or lsid and txnNumber");
    if (c.consistency == ConsistencyLevel::Session && !named)
      return parse_error("the class needs a session: lsid");
    Request request;
    request.id = terms.id;
    request.class_index = found->second;
    request.group = static_cast<GroupId>(group);
    if (named &&
        (c.consistency == ConsistencyLevel::Write || c.consistency == ConsistencyLevel::Session)) {
      const auto id = find(session->value, "id");
      request.session = frontend::hash_session_name(id ? id->value : session->value);
    }
    const Nanos now = net::now();
    Nanos wait = c.deadline;
    if (const auto limit = find(body, "maxTimeMS")) {
      const auto ms = integer(*limit);
      if (!ms || *ms < 0 || *ms > kWaitMost)
        return parse_error("maxTimeMS is out of range");
      if (*ms > 0)
        wait = *ms * kMs;  // 0: no limit, as the protocol has it
    }
    request.deadline = now + wait;
    if (!terms_.has_team(team_))
      return decline(kUnauthorized, "Unauthorized", "no contract with the team '" + team_ + "'");
    const auto verdict = terms_.admit(team_, now, request);
    if (verdict != proxy::ContractEnforcer::Decision::Admitted)
      return decline(kUnauthorized, "Unauthorized", proxy::describe(verdict));
    if (!begin_request(std::move(request), message_size_))
      parse_error("a request with this id is open, or it is no fit id");
  }

  proxy::ContractEnforcer& terms_;
  std::string team_, rewritten_;
  std::uint32_t sent_ = 0, request_id_ = 0;
  std::size_t message_size_ = 0;
  bool read_ = false;
};

}  // namespace

frontend::Frontend::ConnectionFactory make_connection(proxy::ContractEnforcer& terms) {
  return [&terms](frontend::Frontend& frontend, net::SocketHandle socket) {
    return std::make_unique<MongoConnection>(frontend, std::move(socket), terms);
  };
}

}  // namespace gorsebeam::mongo
