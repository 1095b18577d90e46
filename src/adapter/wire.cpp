#include "wire.h"

#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>
#include <utility>

namespace gorsebeam::adapter {
namespace {

using settings::choose;
using settings::Json;
using settings::text_of;
constexpr Nanos kMillisecond = 1'000'000;
constexpr double kSecond = 1e9;

class Line {  // writes one action as one line
public:
  Line(std::string& out, const char* name, std::int64_t instance) : out_(out), writer_(buffer_) {
    writer_.StartObject();
    writer_.Key(name);
    writer_.StartObject();
    field("router_id", instance);
  }

  Line(const Line&) = delete;
  Line& operator=(const Line&) = delete;

  ~Line() {
    writer_.EndObject();
    writer_.EndObject();
    out_.append(buffer_.GetString(), buffer_.GetSize());
    out_.push_back('\n');
  }

  void field(const char* name, std::int64_t value) {
    writer_.Key(name);
    writer_.Int64(value);
  }

  void field(const char* name, const std::string& value) {
    writer_.Key(name);
    writer_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }

  void truth(const char* name, bool value) {
    writer_.Key(name);
    writer_.Bool(value);
  }

private:
  std::string& out_;
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> writer_;
};

struct Writer {  // one overload for each action
  std::string& out;
  std::int64_t instance;

  void operator()(const Send& send) const {
    Line line(out, "CALL_OUT", instance);
    line.field("op_id", send.id);
    line.field("give_up_after", send.timeout);
    line.field("node", send.member);
  }

  void operator()(const Probe& probe) const {
    Line(out, "HEALTH_CHECK", instance).field("node", probe.member);
  }

  void operator()(const Cancel& cancel) const {
    Line line(out, "STOP_ATTEMPT", instance);
    line.field("op_id", cancel.id);
    line.field("try", cancel.attempt);
  }

  void operator()(const Refuse& refuse) const {
    Line line(out, "BUSY", instance);
    line.field("op_id", refuse.id);
    if (refuse.retry_after > 0)
      line.field("hold_off", refuse.retry_after);
  }

  void operator()(const Fail& fail) const { Line(out, "FAIL", instance).field("op_id", fail.id); }

  void operator()(const SetTimer& timer) const {
    Line line(out, "SET_ALARM", instance);
    line.field("token", 0);
    line.field("moment", timer.at);
  }

  void operator()(const WatchList&) const { Line(out, "OBSERVE", instance).truth("on", true); }

  void operator()(const Note& note) const {
    Line(out, "RECORD", instance).field("note_text", note.text);
  }
};

Result read_result(const std::string& word) {
  return choose<Result>(word, "code",
                        {{"GOOD", Result::Ok},
                         {"BAD", Result::Error},
                         {"FULL", Result::Full},
                         {"LATE", Result::Timeout},
                         {"NOCONN", Result::NoConnection},
                         {"RST", Result::Reset},
                         {"CXL", Result::Cancelled},
                         {"NOP", Result::NotSent},
                         {"MISS", Result::Miss}});
}

}  // namespace

// A report arrives as named values; positions in it are seconds after the settings' zero.
static Report read_report(const Json* value, Nanos zero) {
  Report report;
  if (!value)
    return report;
  if (!value->IsObject())
    throw WireError("the field 'report' is not an object");
  const auto number = [&](const char* name) -> std::optional<double> {
    const auto it = value->FindMember(name);
    if (it == value->MemberEnd() || it->value.IsNull())
      return std::nullopt;
    if (!it->value.IsNumber())
      throw WireError(std::string("the report's '") + name + "' is not a number");
    return it->value.GetDouble();
  };
  if (const auto x0 = number("x0"))
    report.position = zero + static_cast<Nanos>(std::floor(*x0 * kSecond));
  if (const auto x1 = number("x1"))
    report.primary = *x1 > 0.5;
  return report;
}

void Session::line(const std::string& text, std::string& reply) {
  rapidjson::Document document;
  document.Parse(text.data(), text.size());
  if (document.HasParseError())
    throw WireError(
        "not JSON: " + std::string(rapidjson::GetParseError_En(document.GetParseError())) +
        " (byte " + std::to_string(document.GetErrorOffset()) + ")");
  if (!document.IsObject() || document.MemberCount() != 1)
    throw WireError("a message must be an object with a single key, its name");
  const std::string name = text_of(document.MemberBegin()->name);
  const Reader body(document.MemberBegin()->value, name);
  if (name == "TURN") {
    if (open_)
      throw WireError("TURN inside a batch");
    const Nanos now = body.integer("time");
    if (now < now_)
      throw WireError("TURN: the clock went back");
    now_ = now;
    open_ = true;
    return;
  }
  if (!open_)
    throw WireError(name + " outside a batch");
  if (name == "END") {
    open_ = false;
    reply += "{\"READY\":{}}\n";
    return;
  }
  event(name, body, reply);
}

void Session::event(const std::string& name, const Reader& body, std::string& reply) {
  if (name == "SHEET")
    return list(body);
  if (name == "NEW_INSTANCE")
    return start(body);
  const std::int64_t number = body.integer("router_id");
  const auto found = instances_.find(number);
  if (found == instances_.end())
    throw WireError(name + " for router " + std::to_string(number) +
                    ", which was never started or has ended");
  if (name == "DOWN") {
    instances_.erase(found);
    return;
  }
  if (name == "INBOX" || name == "BEGUN")
    return;  // messages and streams are not used
  give(number, read_event(name, body, found->second), reply);
}

Event Session::read_event(const std::string& name, const Reader& body,
                          const Instance& instance) const {
  if (name == "VIEW") {
    MemberList event;
    event.kind = choose<MemberList::Kind>(body.text("kind"), "kind",
                                          {{"disk", MemberList::Kind::Remembered},
                                           {"snapshot", MemberList::Kind::Full},
                                           {"diff", MemberList::Kind::Changes},
                                           {"error", MemberList::Kind::Failed}});
    if (event.kind == MemberList::Kind::Failed)
      return event;
    const std::int64_t buffer = body.integer("buffer");
    if (buffer < 0 || buffer > 15)
      body.wrong("buffer", "between 0 and 15");
    event.members = lists_[static_cast<std::size_t>(buffer)];
    return event;
  }
  if (name == "ORDER") {
    Request event;
    event.id = body.text("op_id");
    const auto known = instance.profile.classes.find(body.text("tier_class"));
    if (known == instance.profile.classes.end())
      body.wrong("tier_class", "a class of the settings");
    event.class_index = known->second;
    if (const Json* realm = body.find("realm"); realm && realm->IsString()) {
      const auto tenant = instance.profile.tenants.find(text_of(*realm));
      if (tenant != instance.profile.tenants.end())
        event.tenant = tenant->second;
    }
    if (body.find("session"))
      event.session = static_cast<std::uint64_t>(body.integer("session"));
    event.deadline = body.integer("valid_until");
    event.group = body.small("partition_no");
    if (body.find("token_ms"))
      event.token_age = static_cast<Nanos>(body.number("token_ms", 0) * kMillisecond);
    event.retry = body.truth("repeat");
    return event;
  }
  if (name == "OUTCOME") {
    Outcome event;
    event.id = body.text("op_id");
    event.attempt = static_cast<std::uint32_t>(body.integer("try", 0));
    event.member = body.small("node");
    event.result = read_result(body.text("code"));
    event.closed = body.truth("closed");
    event.elapsed = body.integer("delay_seen", 0);
    if (const std::int64_t mark = body.integer("mark", 0); mark > 0) {
      event.role = mark % 4 == 1 ? Role::Primary : mark % 4 == 2 ? Role::Replica : Role::Unknown;
      if (mark / 4 > 0)
        event.position = instance.profile.zero + mark / 4 * kMillisecond;
    }
    event.report = read_report(body.find("report"), instance.profile.zero);
    return event;
  }
  if (name == "STATUS_BACK") {
    Probed event;
    event.member = body.small("node");
    event.ok = read_result(body.text("code")) == Result::Ok;
    event.elapsed = body.integer("delay_seen", 0);
    event.report = read_report(body.find("report"), instance.profile.zero);
    return event;
  }
  if (name == "TICK_DUE")
    return TimerDue{};
  if (name == "VANISHED")
    return ClientGone{body.text("op_id")};
  throw WireError("unknown event '" + name + "'");
}

void Session::give(std::int64_t number, const Event& event, std::string& reply) {
  actions_.clear();
  instances_.at(number).router.handle(now_, event, actions_);
  for (const Action& action : actions_)
    std::visit(Writer{reply, number}, action);
}

void Session::list(const Reader& body) {
  const std::int64_t buffer = body.integer("buffer");
  if (buffer < 0 || buffer > 15)
    body.wrong("buffer", "between 0 and 15");
  std::vector<Member> members;
  for (const Json& element : body.array("elements").GetArray()) {
    const Reader entry(element, "SHEET.elements");
    Member member;
    member.id = entry.small("node");
    member.group = entry.small("cluster");
    member.zone = entry.text("campus", "");
    member.state = choose<MemberState>(entry.text("mode"), "mode",
                                       {{"up", MemberState::Up},
                                        {"draining", MemberState::Draining},
                                        {"removed", MemberState::Removed}});
    member.started_at = entry.integer("started_at", 0);
    member.primary = entry.integer("primary", 0) == 1;
    member.size = entry.number("size", 1);
    members.push_back(std::move(member));
  }
  lists_[static_cast<std::size_t>(buffer)] = std::move(members);
}

void Session::start(const Reader& body) {
  const std::int64_t number = body.integer("router_id");
  const auto seed = body.need("init_seed").IsUint64()
                        ? body.need("init_seed").GetUint64()
                        : static_cast<std::uint64_t>(body.integer("init_seed"));
  settings::Profile profile = settings::read_profile(body.object("profile_data"));
  instances_.erase(number);
  Router router(profile.settings, seed);
  instances_.emplace(number, Instance{std::move(router), std::move(profile)});
}

}  // namespace gorsebeam::adapter
