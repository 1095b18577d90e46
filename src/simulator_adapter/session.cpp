#include "session.h"

#include "logging/log_record.h"

#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>
#include <utility>

namespace gorsebeam::simulator_adapter {
namespace {

using settings::Json;
using settings::parse_enum;
using settings::string_value;
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

  void operator()(const StartAttempt& send) const {
    Line line(out, "CALL_OUT", instance);
    line.field("op_id", send.request_id);
    line.field("give_up_after", send.timeout);
    line.field("node", send.endpoint);
  }

  void operator()(const SendHealthCheck& probe) const {
    Line(out, "HEALTH_CHECK", instance).field("node", probe.endpoint);
  }

  void operator()(const CancelAttempt& cancel) const {
    Line line(out, "STOP_ATTEMPT", instance);
    line.field("op_id", cancel.request_id);
    line.field("try", cancel.attempt);
  }

  void operator()(const RejectRequest& refuse) const {
    Line line(out, "BUSY", instance);
    line.field("op_id", refuse.request_id);
    if (refuse.retry_after > 0)
      line.field("hold_off", refuse.retry_after);
  }

  void operator()(const FailRequest& fail) const {
    Line(out, "FAIL", instance).field("op_id", fail.request_id);
  }

  void operator()(const SetTimer& timer) const {
    Line line(out, "SET_ALARM", instance);
    line.field("token", 0);
    line.field("moment", timer.at);
  }

  void operator()(const WatchEndpoints&) const { Line(out, "OBSERVE", instance).truth("on", true); }

  void operator()(const LogMessage& message) const {
    Line(out, "RECORD", instance).field("note_text", logging::to_text(logging::to_record(message)));
  }
};

AttemptStatus read_result(const std::string& word) {
  return parse_enum<AttemptStatus>(word, "code",
                                   {{"GOOD", AttemptStatus::Ok},
                                    {"BAD", AttemptStatus::Error},
                                    {"FULL", AttemptStatus::Rejected},
                                    {"LATE", AttemptStatus::Timeout},
                                    {"NOCONN", AttemptStatus::ConnectFailed},
                                    {"RST", AttemptStatus::Reset},
                                    {"CXL", AttemptStatus::Cancelled},
                                    {"NOP", AttemptStatus::NotSent},
                                    {"MISS", AttemptStatus::Misdirected}});
}

}  // namespace

// A report arrives as named values; positions in it are seconds after the settings' zero.
static LoadReport read_report(const Json* value, Nanos zero) {
  LoadReport report;
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
    report.replication_position = zero + static_cast<Nanos>(std::floor(*x0 * kSecond));
  if (const auto x1 = number("x1"))
    report.is_primary = *x1 > 0.5;
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
  const std::string name = string_value(document.MemberBegin()->name);
  const JsonObjectReader body(document.MemberBegin()->value, name);
  if (name == "TURN") {
    if (open_)
      throw WireError("TURN inside a batch");
    const Nanos now = body.read_integer("time");
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

void Session::event(const std::string& name, const JsonObjectReader& body, std::string& reply) {
  if (name == "SHEET")
    return list(body);
  if (name == "NEW_INSTANCE")
    return start(body);
  const std::int64_t number = body.read_integer("router_id");
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

Event Session::read_event(const std::string& name, const JsonObjectReader& body,
                          const Instance& instance) const {
  if (name == "VIEW") {
    EndpointList event;
    event.kind = parse_enum<EndpointList::Kind>(body.read_string("kind"), "kind",
                                                {{"disk", EndpointList::Kind::Cached},
                                                 {"snapshot", EndpointList::Kind::Full},
                                                 {"diff", EndpointList::Kind::Delta},
                                                 {"error", EndpointList::Kind::Failed}});
    if (event.kind == EndpointList::Kind::Failed)
      return event;
    const std::int64_t buffer = body.read_integer("buffer");
    if (buffer < 0 || buffer > 15)
      body.throw_invalid("buffer", "between 0 and 15");
    event.endpoints = lists_[static_cast<std::size_t>(buffer)];
    return event;
  }
  if (name == "ORDER") {
    Request event;
    event.id = body.read_string("op_id");
    const auto known = instance.profile.classes.find(body.read_string("tier_class"));
    if (known == instance.profile.classes.end())
      body.throw_invalid("tier_class", "a class of the settings");
    event.class_index = known->second;
    if (const Json* realm = body.find("realm"); realm && realm->IsString()) {
      const auto tenant = instance.profile.tenants.find(string_value(*realm));
      if (tenant != instance.profile.tenants.end())
        event.tenant = tenant->second;
    }
    if (body.find("session"))
      event.session = static_cast<std::uint64_t>(body.read_integer("session"));
    event.deadline = body.read_integer("valid_until");
    event.group = body.read_uint32("partition_no");
    if (body.find("token_ms"))
      event.session_token_age = static_cast<Nanos>(body.read_number("token_ms", 0) * kMillisecond);
    event.is_client_retry = body.read_bool("repeat");
    return event;
  }
  if (name == "OUTCOME") {
    AttemptResult event;
    event.request_id = body.read_string("op_id");
    event.attempt = static_cast<std::uint32_t>(body.read_integer("try", 0));
    event.endpoint = body.read_uint32("node");
    event.status = read_result(body.read_string("code"));
    event.request_finished = body.read_bool("closed");
    event.elapsed = body.read_integer("delay_seen", 0);
    if (const std::int64_t mark = body.read_integer("mark", 0); mark > 0) {
      event.role = mark % 4 == 1 ? Role::Primary : mark % 4 == 2 ? Role::Replica : Role::Unknown;
      if (mark / 4 > 0)
        event.replication_position = instance.profile.replication_epoch + mark / 4 * kMillisecond;
    }
    event.load_report = read_report(body.find("report"), instance.profile.replication_epoch);
    return event;
  }
  if (name == "STATUS_BACK") {
    HealthCheckResult event;
    event.endpoint = body.read_uint32("node");
    event.succeeded = read_result(body.read_string("code")) == AttemptStatus::Ok;
    event.elapsed = body.read_integer("delay_seen", 0);
    event.load_report = read_report(body.find("report"), instance.profile.replication_epoch);
    return event;
  }
  if (name == "TICK_DUE")
    return TimerExpired{};
  if (name == "VANISHED")
    return ClientDisconnected{body.read_string("op_id")};
  throw WireError("unknown event '" + name + "'");
}

void Session::give(std::int64_t number, const Event& event, std::string& reply) {
  actions_.clear();
  instances_.at(number).router.handle(now_, event, actions_);
  for (const Action& action : actions_)
    std::visit(Writer{reply, number}, action);
}

void Session::list(const JsonObjectReader& body) {
  const std::int64_t buffer = body.read_integer("buffer");
  if (buffer < 0 || buffer > 15)
    body.throw_invalid("buffer", "between 0 and 15");
  std::vector<Endpoint> members;
  for (const Json& element : body.require_array("elements").GetArray()) {
    const JsonObjectReader entry(element, "SHEET.elements");
    Endpoint member;
    member.id = entry.read_uint32("node");
    member.group = entry.read_uint32("cluster");
    member.zone = entry.read_string("campus", "");
    member.status = parse_enum<EndpointStatus>(entry.read_string("mode"), "mode",
                                               {{"up", EndpointStatus::Up},
                                                {"draining", EndpointStatus::Draining},
                                                {"removed", EndpointStatus::Removed}});
    member.started_at = entry.read_integer("started_at", 0);
    member.listed_as_primary = entry.read_integer("primary", 0) == 1;
    member.weight = entry.read_number("size", 1);
    members.push_back(std::move(member));
  }
  lists_[static_cast<std::size_t>(buffer)] = std::move(members);
}

void Session::start(const JsonObjectReader& body) {
  const std::int64_t number = body.read_integer("router_id");
  const auto seed = body.require("init_seed").IsUint64()
                        ? body.require("init_seed").GetUint64()
                        : static_cast<std::uint64_t>(body.read_integer("init_seed"));
  settings::DeploymentProfile profile =
      settings::read_deployment_profile(body.require_object("profile_data"));
  instances_.erase(number);
  Router router(profile.settings, seed);
  instances_.emplace(number, Instance{std::move(router), std::move(profile)});
}

}  // namespace gorsebeam::simulator_adapter
