#include "upstream_protocol.h"

#include "codec.h"

#include "net/timer.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace gorsebeam::postgres {
namespace {

using connection_pool::ParseStep;
using proxy::UpstreamResponse;

constexpr std::size_t kMessageMost = 128 * 1024;  // a value holds at most 64 KiB
constexpr Nanos kAhead = 2'000'000'000;  // a position further ahead of our clock cannot be one
constexpr double kSecondsMost = 1e11;    // a report's position below this is in seconds

std::optional<double> number(std::string_view text) {
  const std::string copy(text.substr(0, 64));
  char* end = nullptr;
  const double value = std::strtod(copy.c_str(), &end);
  if (copy.empty() || *end != '\0' || !std::isfinite(value))
    return std::nullopt;
  return value;
}

std::optional<Nanos> position_at(double ms) {  // Unix ms, as the module's clock counts
  if (ms < 0 || ms * 1e6 > static_cast<double>(net::now() + kAhead))
    return std::nullopt;
  return static_cast<Nanos>(std::floor(ms * 1e6));
}

std::optional<Nanos> position_of(std::string_view text) {
  const auto ms = number(text);
  return ms ? position_at(*ms) : std::nullopt;
}

// "x0=1767225600.123,x1=0": a report's position is a Unix time in seconds, while an answer's is in
// milliseconds; one too large to be seconds is taken as milliseconds. Guards against a member whose
// first report is not made yet: its zeros would tell every gateway that starts that no group has a
// primary, and prove no position. Guards against a spoilt report: one that cannot be read whole is
// ignored whole, and the answer stands.
void read_gauges(std::string_view text, LoadReport& report) {
  LoadReport read;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view pair = text.substr(0, comma), name = pair.substr(0, pair.find('='));
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    const auto value = number(pair.substr(std::min(pair.size(), name.size() + 1)));
    if (!value)
      return;
    if (name == "x0" && *value == 0)
      return;
    if (name == "x0" &&
        !(read.replication_position = position_at(*value < kSecondsMost ? *value * 1000 : *value)))
      return;
    if (name == "x1")
      read.is_primary = *value > 0.5;
  }
  report = read;
}

// Whether a DataRow of `size` bytes, of which the first six stand in `head`, is one column that
// fills it.
bool fits_row(std::string_view head, std::size_t size) {
  if (head[0] != 0 || head[1] != 1)
    return false;
  const std::uint32_t length = read_u32(head.data() + 2);
  return size == 6 + static_cast<std::size_t>(length == 0xffffffffu ? 0 : length);  // or null
}

// Guards against noise that would be waited for to its end: what has come of a message shows that
// it is none of an answer's.
bool hopeless(std::string_view in, std::string_view types) {
  if (in.empty())
    return false;
  if (types.find(in[0]) == std::string_view::npos)
    return true;
  return in[0] == 'D' && in.size() >= 11 && !fits_row(in.substr(5), read_u32(in.data() + 1) - 4);
}

// The one column of a DataRow. False: not one column, or its length is off.
bool read_row(std::string_view body, std::string_view& value) {
  if (body.size() < 6 || !fits_row(body, body.size()))
    return false;
  value = body.substr(6);
  return true;
}

class PgWire : public connection_pool::UpstreamProtocol {
public:
  std::string greeting() override {
    std::string body = u32(kVersion3);
    for (const char* word : {"user", "gorsebeam", "database", "crm"})
      body.append(word).push_back('\0');
    body.push_back('\0');
    return u32(static_cast<std::uint32_t>(body.size() + 4)) + body;
  }

  ParseStep parse_greeting(std::string_view in, std::size_t& used, bool& turned_away) override {
    Message m;
    for (std::string_view rest = in;; rest.remove_prefix(m.whole.size())) {
      const Framing framing = read_message(rest, kMessageMost, m);
      if (framing != Framing::Whole)
        return framing == Framing::More && !hopeless(rest, "RSKZEN") ? ParseStep::More
                                                                     : ParseStep::Broken;
      if (m.type == 'E') {
        turned_away = error_field(m.body, 'C') == "53300";
        return ParseStep::Broken;
      }
      if (m.type == 'R' && (m.body.size() < 4 || read_u32(m.body.data()) != 0))
        return ParseStep::Broken;
      if (m.type != 'Z')
        continue;
      used = static_cast<std::size_t>(m.whole.data() + m.whole.size() - in.data());
      return ParseStep::Done;
    }
  }

  proxy::Parts request(const proxy::Parts& body) override {
    std::size_t size = 5;  // the length itself, and the end of the text
    for (const std::string_view part : body)
      size += part.size();
    head_ = 'Q' + u32(static_cast<std::uint32_t>(size));
    proxy::Parts parts{head_};
    parts.insert(parts.end(), body.begin(), body.end());
    parts.emplace_back("\0", 1);
    return parts;
  }

  proxy::Parts probe() override {
    head_ = message('Q', std::string_view("SHOW gauges\0", 12));
    return {head_};
  }

  ParseStep answer(std::string_view in, bool ended, bool to_probe, UpstreamResponse& answer,
                   std::size_t& used) override {
    answer = UpstreamResponse{};
    std::string_view description, row, complete, code;
    bool rows_off = false, ready = false;
    Message m;
    for (std::string_view rest = in; !ready; rest.remove_prefix(m.whole.size())) {
      const Framing framing = read_message(rest, kMessageMost, m);
      if (framing == Framing::Malformed || (framing == Framing::More && hopeless(rest, "TDCESNZ")))
        return ParseStep::Broken;
      if (framing == Framing::More)
        break;
      used = static_cast<std::size_t>(m.whole.data() + m.whole.size() - in.data());
      std::string_view name, value;
      switch (m.type) {
      case 'T':
        rows_off |= !description.empty() || m.body.size() < 2 || m.body[0] != 0 || m.body[1] != 1;
        description = m.whole;
        break;
      case 'D':
        rows_off |=
            !row.empty() || description.empty() || !complete.empty() || !read_row(m.body, value);
        row = m.whole;
        if (to_probe && !rows_off)
          read_gauges(value, answer.load_report);
        break;
      case 'C':
        complete = m.whole;
        break;
      case 'E':
        if (m.body.empty() || m.body.back() != '\0')
          return ParseStep::Broken;  // its code proves nothing
        code = error_field(m.body, 'C').value_or("XX000");
        break;
      case 'S':
        if (!read_status(m.body, name, value))
          break;  // tells nothing; the answer stands
        if (name == "part" && value == "master")
          answer.role = Role::Primary;
        if (name == "part" && value == "replica")
          answer.role = Role::Replica;
        if (name == "caught_up_to")
          answer.replication_position = position_of(value);
        if (name == "gauges")
          read_gauges(value, answer.load_report);
        break;
      case 'N':
        break;
      case 'Z':
        ready = true;
        break;
      default:
        return ParseStep::Broken;
      }
    }
    // Whole without ReadyForQuery only where the connection ended after the answer: a fatal error
    // needs none.
    if (!ready && !(ended && (!code.empty() || !complete.empty())))
      return ParseStep::More;
    if (!code.empty()) {
      answer.status = code == "25006" || code == "72000"   ? AttemptStatus::Misdirected
                      : code == "53300" || code == "57P03" ? AttemptStatus::Rejected
                                                           : AttemptStatus::Error;
      return ParseStep::Done;
    }
    if (rows_off || description.empty() || row.empty() || complete.empty())
      return ParseStep::Broken;
    answer.status = AttemptStatus::Ok;
    answer.value = {description, row, complete};
    return ParseStep::Done;
  }

private:
  std::string head_;
};

}  // namespace

std::unique_ptr<connection_pool::UpstreamProtocol> make_wire() {
  return std::make_unique<PgWire>();
}

}  // namespace gorsebeam::postgres
