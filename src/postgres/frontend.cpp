#include "frontend.h"

#include "codec.h"

#include "frontend/session_hash.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::postgres {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr std::uint64_t kDeadlineMost = 3'600'000;  // ms
constexpr std::size_t kStartupMost = 10'000;

// A session is named by its key: as a number where it is one in hex, else by its hash.
std::uint64_t session_of(std::string_view key) {
  std::uint64_t value = 0;
  bool hex = !key.empty() && key.size() <= 16;
  for (const char c : key) {
    hex &= g_ascii_isxdigit(c) != 0;
    value = value << 4 | static_cast<std::uint64_t>(std::max(0, g_ascii_xdigit_value(c)));
  }
  return hex ? value : frontend::hash_session_name(key);
}

class PgConnection : public frontend::ClientConnection {
public:
  PgConnection(frontend::Frontend& frontend, net::SocketHandle socket,
               proxy::ContractEnforcer& terms,
               const std::shared_ptr<const sql_classifier::SqlClassifier>& shapes)
      : ClientConnection(frontend, std::move(socket)), terms_(terms), shapes_(shapes),
        ready_(message('Z', "I")) {}

  proxy::Parts body(Nanos left) override {
    // The statement stands in the input until it is answered; only the waiting time is written
    // anew.
    const std::string_view text = stream_->input().view().substr(5, query_size_);
    left_ = std::to_string(std::max<Nanos>(left / kMs, 1));
    return {text.substr(0, deadline_at_), left_, text.substr(deadline_at_ + deadline_size_)};
  }

  void respond(const proxy::Parts& value) override {
    proxy::Parts parts = value;
    parts.emplace_back(ready_);
    finish(parts);
  }

  void reject(Nanos retry_after) override {
    const std::string wait = retry_after > 0 ? std::to_string(retry_after / kMs) : "";
    finish({error("ERROR", "53300", "refused: try again", wait), ready_});
  }

  void fail() override {
    finish({error("ERROR", "08007", "failed: the effect is not known"), ready_});
  }

private:
  void finish(const proxy::Parts& parts) {
    stream_->write(parts);
    stream_->input().consume(query_size_ + 6);
    finish_request();
  }

  // A protocol error: told, and the connection closed.
  void reject(const char* code, const std::string& text) {
    stream_->write({error("FATAL", code, text)});
    close_when_written();
  }

  void send_closing_error(const char* reason) override {
    reject(is_over_limit() ? "53300" : "57014", reason);
  }

  // An error in one command: told, and the connection goes on.
  void decline(const Message& m, const char* code, const std::string& text) {
    stream_->write({error("ERROR", code, text), ready_});
    stream_->input().consume(m.whole.size());
  }

  void parse() override {
    if (!started_)
      return start();
    Message m;
    switch (read_message(stream_->input().view(), frontend_.limits().message_bytes, m)) {
    case Framing::More:
      return;
    case Framing::Malformed:
      return reject("08P01", "a message is malformed or too long");
    case Framing::Whole:
      break;
    }
    if (skip_to_sync_ && m.type != 'S' && m.type != 'X')
      return stream_->input().consume(m.whole.size());
    switch (m.type) {
    case 'Q':
      return query(m);
    case 'X':
      return close_when_written();  // an answer may still be on its way, with bytes behind this
    case 'S':
      skip_to_sync_ = false;
      stream_->write({ready_});
      return stream_->input().consume(m.whole.size());
    case 'P':
    case 'B':
    case 'D':
    case 'E':
    case 'C':
    case 'F':
    case 'H':
      // The extended protocol: told once, then nothing is heeded until the client synchronizes.
      skip_to_sync_ = m.type != 'F';
      stream_->write({error("ERROR", "0A000", "only simple queries are served")});
      if (m.type == 'F')
        stream_->write({ready_});
      return stream_->input().consume(m.whole.size());
    default:
      return reject("08P01", "unknown message type");
    }
  }

  void start() {
    std::string_view body;
    std::size_t used = 0;
    switch (read_startup(stream_->input().view(), kStartupMost, body, used)) {
    case Framing::More:
      return;
    case Framing::Malformed:
      return reject("08P01", "the startup message is malformed");
    case Framing::Whole:
      break;
    }
    const std::uint32_t version = read_u32(body.data());
    if (version == kCancelRequest)
      return close_when_written();
    if (version == kSslRequest || version == kGssRequest) {
      stream_->write({"N"});
      return stream_->input().consume(used);
    }
    if (version >> 16 != 3)
      return reject("0A000", "only version 3 of the protocol is served");
    if (is_over_limit())
      return reject("53300", "too many connections");
    user_ = startup_parameter(body, "user").value_or("");
    if (user_.empty())
      return reject("28000", "the startup message names no user");
    if (!terms_.has_team(user_))
      return reject("28000", "no contract with the team '" + user_ + "'");
    started_ = true;
    std::string hello = message('R', std::string_view("\0\0\0\0", 4));
    for (const std::string_view status :
         {std::string_view("server_version\0"
                           "15.0\0",
                           20),
          std::string_view("server_encoding\0UTF8\0", 21),
          std::string_view("client_encoding\0UTF8\0", 21),
          std::string_view("DateStyle\0ISO, MDY\0", 19),
          std::string_view("integer_datetimes\0on\0", 21),
          std::string_view("standard_conforming_strings\0on\0", 31)})
      hello += message('S', status);
    hello += message('K', std::string_view("\0\0\0\1\0\0\0\0", 8));
    stream_->write({hello, ready_});
    stream_->input().consume(used);
  }

  void query(const Message& m) {
    if (m.body.empty() || m.body.back() != '\0')
      return reject("08P01", "a query does not end in a zero byte");
    const std::string_view text = m.body.substr(0, m.body.size() - 1);
    if (text.find('\0') != std::string_view::npos)
      return reject("08P01", "a query holds a zero byte");
    if (is_blank(text)) {
      stream_->write({message('I', ""), ready_});
      return stream_->input().consume(m.whole.size());
    }
    const Statement s = read_statement(text);
    const auto found = terms_.classes().find(std::string(s.service_class));
    const auto deadline = whole_number(s.deadline, kDeadlineMost);
    const auto group = whole_number(s.group, 0xffffffffu);
    if (s.several)
      return decline(m, "42601", "a query holds one statement");
    if (s.id.empty())
      return decline(m, "42601", "the statement's comment holds no id");
    if (found == terms_.classes().end())
      return decline(m, "42601", "the statement's comment names no known class");
    if (!deadline || *deadline == 0)
      return decline(m, "42601", "the statement's comment holds no time to wait");
    if (!group)
      return decline(m, "42601", "the statement's comment names no cluster");
    const RequestClass& c = frontend_.broker().settings().classes[found->second];
    // Guards the rules on repeats: a write under a reading class would be repeated as if it changed
    // nothing.
    sql_classifier::Verdict verdict_of_text{
        s.select ? sql_classifier::Effect::Read : sql_classifier::Effect::Write, ""};
    if (shapes_)
      verdict_of_text = shapes_->classify(text);
    const bool reads = verdict_of_text.effect == sql_classifier::Effect::Read;
    // A class is the caller's word: a write under a reading one would go to a replica.
    if (shapes_ && !reads && c.consistency != ConsistencyLevel::Write)
      return decline(m, "25006",
                     "the statement may write, and its class reads: " + verdict_of_text.why);
    if (!shapes_ && s.select != (c.consistency != ConsistencyLevel::Write))
      return decline(m, "42601", "the statement does not fit its class");
    if (c.idempotency == Idempotency::IdempotencyKey && s.idempotency.empty())
      return decline(m, "42601", "the class needs an idempotency key");
    Request request;
    request.id = std::string(s.id);
    request.class_index = found->second;
    request.deadline = net::now() + static_cast<Nanos>(*deadline) * kMs;
    request.group = static_cast<GroupId>(*group);
    if (c.consistency == ConsistencyLevel::Write || c.consistency == ConsistencyLevel::Session)
      request.session = session_of(s.key);
    if (const auto after = whole_number(s.after, 9'000'000'000'000ULL))
      request.session_token_age = std::max<Nanos>(0, net::now() - static_cast<Nanos>(*after) * kMs);
    request.is_client_retry = s.retry == "1";
    const auto verdict = terms_.admit(user_, net::now(), request);
    if (verdict != proxy::ContractEnforcer::Decision::Admitted)
      return decline(m, "42501", proxy::describe(verdict));
    if (shapes_ && verdict_of_text.effect == sql_classifier::Effect::Unknown)
      request.max_attempts = 1;  // may not be repeated
    query_size_ = text.size();
    deadline_at_ = static_cast<std::size_t>(s.deadline.data() - text.data());
    deadline_size_ = s.deadline.size();
    if (!begin_request(std::move(request), m.whole.size()))
      decline(m, "42710", "a request with this id is open, or it is no fit id");
  }

  proxy::ContractEnforcer& terms_;
  const std::shared_ptr<const sql_classifier::SqlClassifier>& shapes_;
  const std::string ready_;
  std::string user_, left_;
  bool started_ = false, skip_to_sync_ = false;
  std::size_t query_size_ = 0, deadline_at_ = 0, deadline_size_ = 0;
};

}  // namespace

frontend::Frontend::ConnectionFactory
make_connection(proxy::ContractEnforcer& terms,
                const std::shared_ptr<const sql_classifier::SqlClassifier>& shapes) {
  return [&terms, &shapes](frontend::Frontend& frontend, net::SocketHandle socket) {
    return std::make_unique<PgConnection>(frontend, std::move(socket), terms, shapes);
  };
}

}  // namespace gorsebeam::postgres
