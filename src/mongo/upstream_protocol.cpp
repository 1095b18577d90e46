#include "upstream_protocol.h"

#include "codec.h"

namespace gorsebeam::mongo {
namespace {

using connection_pool::ParseStep;
using proxy::UpstreamResponse;

constexpr std::size_t kMessageMost = 1 << 20;
constexpr Nanos kSecond = 1'000'000'000;
constexpr Nanos kMs = 1'000'000;
constexpr std::int64_t kSecondsMost = 9'000'000'000;

bool is_ok(std::string_view document) {
  const auto ok = find(document, "ok");
  return ok && truth(*ok).value_or(false);
}

std::int32_t code_of(std::string_view document) {
  const auto code = find(document, "code");
  return code ? static_cast<std::int32_t>(integer(*code).value_or(0)) : 0;
}

class MongoWire : public connection_pool::UpstreamProtocol {
public:
  std::string greeting() override {
    const std::string client =
        Writer()
            .document("application", Writer().text("name", "gorsebeam").take())
            .document("driver", Writer().text("name", "gorsebeam").text("version", "1").take())
            .document("os", Writer().text("type", "Linux").take())
            .take();
    return op_msg(Writer().small("hello", 1).text("$db", "admin").document("client", client).take(),
                  ++id_, 0);
  }

  ParseStep parse_greeting(std::string_view in, std::size_t& used, bool& turned_away) override {
    std::string_view document, sections;
    const ParseStep step = reply(in, document, sections, used);
    if (step != ParseStep::Done || is_ok(document))
      return step;
    turned_away = code_of(document) == kRateLimitExceeded;
    return ParseStep::Broken;
  }

  proxy::Parts request(const proxy::Parts& body) override {
    std::size_t size = 0;
    for (const std::string_view part : body)
      size += part.size();
    head_ = header(size, ++id_, 0, kOpMsg);
    proxy::Parts parts{head_};
    parts.insert(parts.end(), body.begin(), body.end());
    return parts;
  }

  proxy::Parts probe() override {
    head_ = op_msg(Writer().small("hello", 1).text("$db", "admin").take(), ++id_, 0);
    return {head_};
  }

  ParseStep answer(std::string_view in, bool, bool to_probe, UpstreamResponse& answer,
                   std::size_t& used) override {
    answer = UpstreamResponse{};
    std::string_view document, sections;
    const ParseStep step = reply(in, document, sections, used);
    if (step != ParseStep::Done)
      return step;
    if (to_probe) {
      read_hello(document, answer);
      return ParseStep::Done;
    }
    const std::int32_t code = is_ok(document) ? 0 : code_of(document);
    read_position(document, answer);
    switch (code) {
    case kNotWritablePrimary:
      answer.role = Role::Replica;
      [[fallthrough]];
    // Turned away untouched: no primary, or too far behind.
    case kNotPrimaryNoSecondaryOk:
    case kNotPrimaryOrSecondary:
    case kSnapshotUnavailable:
      answer.status = AttemptStatus::Misdirected;
      return ParseStep::Done;
    case kRateLimitExceeded:
      answer.status = AttemptStatus::Rejected;
      return ParseStep::Done;
    default:
      break;
    }
    answer.status = is_ok(document) ? AttemptStatus::Ok : AttemptStatus::Error;
    answer.value = {sections};
    return ParseStep::Done;
  }

private:
  // A whole reply to our last message. A checksum is left off what is passed on, as the heads are
  // written anew.
  ParseStep reply(std::string_view in, std::string_view& document, std::string_view& sections,
                  std::size_t& used) const {
    Message m;
    const Framing framing = read_message(in, kMessageMost, m);
    if (framing != Framing::Whole)
      return framing == Framing::More ? ParseStep::More : ParseStep::Broken;
    OpMsg msg;
    if (m.operation != kOpMsg || m.answers != id_ || !read_op_msg(m.payload, msg))
      return ParseStep::Broken;
    if (msg.flags & kMoreToCome)
      return ParseStep::Broken;  // replies without a request: never asked for
    document = msg.body, sections = msg.sections, used = m.size;
    return ParseStep::Done;
  }

  static void read_hello(std::string_view document, UpstreamResponse& answer) {
    const auto flag = [&](const char* name) {
      const auto element = find(document, name);
      return element && truth(*element).value_or(false);
    };
    const bool primary = flag("isWritablePrimary") || flag("ismaster"), replica = flag("secondary");
    if (!is_ok(document) || (!primary && !replica)) {
      answer.status = AttemptStatus::Error;
      return;
    }
    answer.status = AttemptStatus::Ok;
    answer.load_report.is_primary = primary;
    const auto last = find(document, "lastWrite");
    const auto date =
        last && last->type == '\x03' ? find(last->value, "lastWriteDate") : std::nullopt;
    if (!date || date->type != '\x09')
      return;
    const auto ms = static_cast<std::int64_t>(read_u64(date->value.data()));
    if (ms > 0 && ms < kSecondsMost * 1000)
      answer.load_report.replication_position = ms * kMs;
  }

  // operationTime: its seconds are Unix time. The member has applied all up to them; a write's
  // commit lies somewhere within that second, so what must see it must see the next one. Guards
  // against a demoted primary's being taken for more current than it is, and against a session's
  // reading from before its write.
  static void read_position(std::string_view document, UpstreamResponse& answer) {
    const auto time = find(document, "operationTime");
    if (!time || time->type != '\x11')
      return;
    const auto seconds = static_cast<std::int64_t>(read_u64(time->value.data()) >> 32);
    if (seconds <= 0 || seconds > kSecondsMost)
      return;
    answer.replication_position = seconds * kSecond;
    answer.commit_position = (seconds + 1) * kSecond;
  }

  std::uint32_t id_ = 0;
  std::string head_;
};

}  // namespace

std::unique_ptr<connection_pool::UpstreamProtocol> make_wire() {
  return std::make_unique<MongoWire>();
}

}  // namespace gorsebeam::mongo
