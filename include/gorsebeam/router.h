// The interface of gorsebeam: settings in, events in, actions out. No decision is made here; all of
// them stand in src/rules.cpp. Times are nanoseconds on the caller's clock, which must never go
// back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

namespace gorsebeam {

using Nanos = std::int64_t;
using MemberId = std::uint32_t;
using GroupId = std::uint32_t;

enum class ReadLevel { Any, Bounded, Session, Fresh, Write };
enum class Effect { Safe, Keyed, Unsafe };
enum class RepeatScope { All, Zone, Group };  // where repeats of a keyed request are dropped
enum class Checks {
  None,
  Refuse,
  Wait
};  // what a member does with a read that it lags too far for
enum class ListRole { None, Start, Late };       // how the list tells who is primary
enum class TokenMode { Carried, Remembered };    // who knows a session's last write
enum class ReportVia { None, Probes, Answers };  // where load reports come from
enum class Discovery { Pushed, Asked };
enum class Role { Unknown, Primary, Replica };
enum class MemberState { Up, Draining, Removed };

struct RequestClass {
  std::string name;
  ReadLevel level = ReadLevel::Any;
  Nanos bound = 0;  // the oldest data a Bounded read may see
  Nanos aim = 0;    // answered within this time: full worth
  Nanos deadline = 0;
  double worth = 1;
  double late_worth = 0;  // fraction of the worth that a late answer keeps
  Effect effect = Effect::Safe;
  RepeatScope scope = RepeatScope::All;
  Nanos window = 0;  // how long repeats of a keyed request are dropped
};

struct Tenant {
  std::string name;
  double rate = 0;  // requests a second, over all routers, that lie within its share
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  double over_share_worth = 1;  // worth of a request beyond its tenant's share, as a fraction
  std::uint32_t router = 0;     // this router's number, and how many there are
  std::uint32_t routers = 1;
  std::string zone;
  Nanos tick = 1;  // the shortest time between two rounds of events
  Discovery discovery = Discovery::Pushed;
  Nanos ask_within = 0;  // Asked only: how old an unasked list may grow
  ListRole list_role = ListRole::None;
  TokenMode tokens = TokenMode::Remembered;
  // So long after its writing what an answer tells counts as known, come or not; nothing: once it
  // came.
  std::optional<Nanos> answers_known_after;
  Checks checks = Checks::None;
  Nanos check_wait = 0;
  ReportVia reports = ReportVia::None;
  bool report_positions = false;  // reports hold a position
  bool report_roles = false;      // reports hold the role
  bool probes = true;
  double probe_price = 0.24;  // what one costs, in parts of a request's worth; 0: nothing
  bool cancels = false;
  bool hedging = false;  // a second copy of a late read may go out beside the first
  bool retry_after = false;
  Nanos max_retry_after = 0;
  std::uint32_t max_attempts = 1;
  Nanos connect_timeout = 0;
  Nanos answer_slack = 0;  // a final answer still counts this long after the deadline
  Nanos drain_grace = 0;
  bool only_draining_binds = false;
  Nanos cold_time = 0;       // a started member is warm after this
  double cold_from = 1;      // the fraction of its capacity that it starts with
  Nanos fall_time = 0;       // a cold member sent more than fall_multiple times what it
  double fall_multiple = 1;  // can do for this long falls over
};

struct Member {
  MemberId id = 0;
  GroupId group = 0;
  std::string zone;
  MemberState state = MemberState::Up;
  Nanos started_at = 0;  // 0: long ago
  bool primary = false;  // as the list has it
  double size = 1;
};

// ---- events

struct MemberList {
  enum class Kind { Remembered, Full, Changes, Failed };
  Kind kind = Kind::Full;
  std::vector<Member> members;
};

struct Request {
  std::string id;
  std::size_t class_index = 0;
  std::optional<std::size_t> tenant;
  std::optional<std::uint64_t> session;
  Nanos deadline = 0;  // when the client gives this try up
  GroupId group = 0;
  std::optional<Nanos> token_age;  // how long ago the session's last write was committed; 0: none
  bool retry = false;
  std::uint32_t attempts = 0;  // its contract's limit; 0: the settings' holds
  Nanos over_budget = 0;       // above 0: beyond its team's budget, and when the next one fits
};

struct Report {
  std::optional<Nanos> position;
  std::optional<bool> primary;
};

enum class Result { Ok, Error, Full, Timeout, NoConnection, Reset, Cancelled, NotSent, Miss };

struct Outcome {
  std::string id;
  std::uint32_t attempt = 0;
  MemberId member = 0;
  Result result = Result::Ok;
  bool closed = false;  // the request has its final answer
  Nanos elapsed = 0;
  Role role = Role::Unknown;
  std::optional<Nanos> position;  // of a write that went through: its commit
  std::optional<Nanos>
      commit;  // of a write, where the member's position tells less than its commit
  Report report;
};

struct Probed {
  MemberId member = 0;
  bool ok = false;
  Nanos elapsed = 0;
  Report report;
};

struct TimerDue {};

struct ClientGone {
  std::string id;
};

using Event = std::variant<MemberList, Request, Outcome, Probed, TimerDue, ClientGone>;

// ---- actions

struct Send {
  std::string id;
  MemberId member = 0;
  Nanos timeout = 0;
};

struct Probe {
  MemberId member = 0;
};

struct Cancel {
  std::string id;
  std::uint32_t attempt = 0;
};

struct Refuse {  // final: trying again is harmless
  std::string id;
  Nanos retry_after = 0;
};

struct Fail {  // final: promises nothing
  std::string id;
};

struct SetTimer {
  Nanos at = 0;
};

struct WatchList {};  // ask discovery for the list and its changes

struct Note {  // a line for the operators' log
  std::string text;
};

using Action = std::variant<Send, Probe, Cancel, Refuse, Fail, SetTimer, WatchList, Note>;

// One router: no globals, clock, input, output or threads. The same events give the same actions.
class Router {
public:
  Router(Settings settings,
         std::uint64_t seed);  // throws std::invalid_argument naming a bad setting
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // Appends what is to be done, in order, at the time `now`.
  void handle(Nanos now, const Event& event, std::vector<Action>& actions);

  // Asked at the moment of writing, which a connection that comes up late may put long after the
  // decision: whether it still holds. Not where the request has ended, its member is leaving, the
  // time for a repeat is over, or what proved the member current is too old by now; the attempt
  // then ends as NotSent.
  bool may_write(Nanos now, const std::string& id, MemberId member);
  bool may_probe(MemberId member) const;

private:
  class Rules;
  std::unique_ptr<Rules> rules_;
};

}  // namespace gorsebeam
