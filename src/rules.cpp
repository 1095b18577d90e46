// Every decision of gorsebeam. The types, events and actions stand in include/gorsebeam/router.h.
#include "gorsebeam/router.h"

#include "session_tokens/session_writes.h"
#include "settings/validation.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace gorsebeam {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kNever = std::numeric_limits<Nanos>::max();
constexpr EndpointId kNobody = std::numeric_limits<EndpointId>::max();
constexpr Nanos kUnknown = std::numeric_limits<Nanos>::min(); // position or time not known

constexpr int kTimeoutsInRow = 2;           // DESIGN's count: one time-out is chance, two are a symptom
constexpr Nanos kPulse = 10 * kMs;          // how often open requests are looked at; well under any aim
constexpr Nanos kProbeGap = 100 * kMs;      // least time between two probes of one member
constexpr Nanos kTrialGap = 500 * kMs;      // first pause before a failing member is tried again; doubles
constexpr Nanos kBlink = 300 * kMs;         // back sooner than this, a member has not restarted
constexpr Nanos kTrialGapMost = 4000 * kMs; // longest such pause: outages last seconds to tens of seconds
constexpr double kSmooth = 0.1;             // weight of a new sample in a mean: about the last ten count
constexpr double kStep = 0.02;              // by which a middle answer time moves a sample: fifty count
constexpr double kOverdue = 6; // times the middle: what one answer in fifty passes where work is exponential
constexpr double kLong = 2; // times the middle of reads that need current data: such reads hold a replica up
constexpr double kRoomy = 0.35;      // answers take this part of their aims: beyond, the slow ones miss them
constexpr double kNewsSpan = 3e9;    // ns over which news of a crowd fades: jams last seconds
constexpr double kEnough = 30;       // answers whose mean errs by a fifth: fewer tell little of a crowd
constexpr double kUsual = 0.21;      // the part of their aims that answers take with no crowd
constexpr double kPooled = 4;        // answers of its own from which on a member counts more than its pool
constexpr double kHedgeShare = 0.02; // hedges, as a share of requests: bounds the load they add
constexpr double kHedgeBurst = 20;   // hedges that may go at once: one member's requests in hand
constexpr double kErrorShare = 0.25; // a member failing this share of its requests is set aside
constexpr Nanos kForget = 60'000 * kMs;  // what is known of a member that is gone is kept for so long
constexpr Nanos kHandOver = 1000 * kMs;  // a role that is handed over is taken up sooner
constexpr Nanos kStaleNews = 2000 * kMs; // age given to a role whose news bears no date
constexpr double kProbeShare = 0.1; // probes, as a share of this router's own requests: bounds their cost
constexpr double kProofCost = 0.04; // of its worth, for probes on behalf of a read that uses a proof alone
constexpr double kProbeBurst = 10;  // probes that may go at once: a group's members, and some more
constexpr int kProbeExtra = 4;      // beyond the share, by a read of a group without a primary: its members

std::uint64_t mix(std::uint64_t x) { // splitmix64's finish: spreads close keys
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

double unit(std::uint64_t h) { return static_cast<double>(mix(h) >> 11) / 9007199254740992.0; } // in [0, 1)

std::uint64_t hash_text(const std::string& text) { // FNV-1a, then mixed
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return mix(h);
}

struct Crowd { // answer times as parts of their aims, fading
  double sum = 0, n = 0;
  Nanos at = 0;
  bool slow() const { return sum > kRoomy * n; }
  Crowd& fade(Nanos now) {
    const double kept = std::exp(-static_cast<double>(now - at) / kNewsSpan);
    sum *= kept, n *= kept, at = now;
    return *this;
  }
};

struct MemberRow { // one row of the member table
  Endpoint entry;
  bool told_leaving = false;  // the list said draining or gone
  Nanos left_at = kNever;     // when the list said gone
  Nanos position = kUnknown;  // applied at least up to here; never falls
  Nanos disproved = kUnknown; // a miss: not yet applied up to here
  int failures = 0;           // time-outs in a row
  double errors = 0;          // recent share of errors
  bool set_aside = true;      // a fresh router sets all aside
  bool needs_trial = false;   // set aside for time-outs or errors: a shallow probe proves nothing
  int breaks = 0;             // connections refused or broken in a row, with no answer or probe between
  Nanos broke_at = 0;         // the first of them
  bool lost = false;          // several such: may have restarted
  Nanos aside_at = kNever;    // when it was last set aside
  bool trial_out = false, probing = false;
  Nanos trial_at = 0, trial_gap = kTrialGap;
  Nanos heard_at = 0; // when it last answered an attempt
  Nanos probed_at = kUnknown;
  Nanos shown_at = kUnknown;  // when its position was last shown
  Nanos role_at = kUnknown;   // the date of the newest evidence of its role
  Nanos denied_at = kUnknown; // when it last answered that it is no primary
  Nanos cold_since = kUnknown;
  Crowd crowd;
};

struct Group {
  std::vector<EndpointId> members; // sorted
  std::optional<EndpointId> primary;
  Nanos primary_info = kUnknown;                // the time of the evidence for it
  bool doubted = false;                         // it failed to answer: writes wait
  bool thin = true;                             // bounded reads come further apart than a proof holds
  Nanos read_at = kUnknown;                     // the last of them
  bool changed = false;                         // evidence that may release waiting requests
  Nanos scouted_at = kUnknown, released_at = 0; // releases are spaced: crowds wait in thousands
  std::set<std::uint64_t> waiting;              // requests with nothing out, by arrival
};

struct Attempt {
  EndpointId member = 0;
  Nanos sent_at = 0;
  Nanos need = kUnknown;
  bool out = true, overdue = false, trial = false, broke = false;
};

struct Job {
  Request request;
  std::uint64_t seq = 0;
  Nanos arrived = 0, aim_at = 0, end = 0; // and when it is given up
  Nanos token = kUnknown;
  std::uint64_t key = 0;
  std::uint64_t draw = 0; // its own chance
  std::vector<Attempt> attempts;
  Nanos may_have_run = kUnknown; // when the first attempt that may have run was sent
  EndpointId ran_at = 0;
  bool closed = false, hedged = false;
  Nanos not_before = 0, look_at = kNever;
  int out = 0;
};

struct ClassStat {
  double usual = 0; // the middle answer time of this class, overdue ones counted as long
  double seen = 0;  // requests lately: its share of this router's traffic
};

} // namespace

class Router::Core {
public:
  Core(Settings settings, std::uint64_t seed)
      : s_(std::move(settings)), phase_(static_cast<Nanos>(mix(seed) % static_cast<std::uint64_t>(kPulse))) {
    settings::check(s_);
    for (const RequestClass& c : s_.classes) stats_.push_back({static_cast<double>(c.latency_objective) / 5, 0});
  }

  void handle(Nanos now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    out_ = &actions;
    // A timer long overdue: the router itself stood still, and what it finds now tells of no member.
    if (armed_ != kNever && now_ - armed_ > 4 * kPulse) stalled_at_ = now_;
    std::visit([this](const auto& e) { on(e); }, event);
    for (std::size_t i = 0; i < changed_.size(); ++i) {
      const auto group = groups_.find(changed_[i]);
      if (group == groups_.end()) continue;
      group->second.changed = false;
      if (now_ - group->second.released_at >= kPulse / 2) release(changed_[i]);
    }
    changed_.clear();
    arm();
    out_ = nullptr;
  }

  bool is_attempt_allowed(Nanos now, const std::string& id, EndpointId member) {
    now_ = now;
    const auto seq = ids_.find(id);
    const auto row = rows_.find(member);
    return seq != ids_.end() && row != rows_.end() && may_go(jobs_.at(seq->second), row->second);
  }

  bool may_probe(EndpointId member) const {
    const auto row = rows_.find(member);
    return row != rows_.end() && usable(row->second);
  }

private:
  // ---- member table

  template <typename A> void act(A action) { out_->emplace_back(std::move(action)); }

  void log(LogMessage message) { act(std::move(message)); }

  void wake(GroupId id) { // something changed that may release its waiting requests
    Group& group = groups_[id];
    if (!group.changed && !group.waiting.empty()) changed_.push_back(id);
    group.changed |= !group.waiting.empty();
  }

  // A position holds for good once shown; it never falls.
  void prove(MemberRow& m, Nanos position, Nanos at) {
    m.shown_at = std::max(m.shown_at, at);
    if (position <= m.position) return;
    m.position = position;
    wake(m.entry.group);
  }

  bool disproved(const MemberRow& m) const { return m.disproved != kUnknown && m.disproved > m.position; }

  // Evidence of a member's role, dated: the newest tells who is primary; only an answer ends a doubt.
  void believe(MemberRow& m, bool primary, Nanos dated, bool by_answer) {
    // Guards against a load report older than the answer that brings it: it would crown again, and again,
    // the member that has just said that it is primary no more.
    if (dated < m.role_at) return;
    m.role_at = dated;
    Group& group = groups_[m.entry.group];
    const bool held = group.primary == m.entry.id;
    if ((!primary && !held) || (primary != held && group.primary && dated <= group.primary_info)) return;
    if (primary != held) {
      if (primary)
        log(PrimaryElected{m.entry.group, m.entry.id});
      else
        log(PrimaryDemoted{m.entry.group, m.entry.id});
      group.primary = primary ? std::optional<EndpointId>(m.entry.id) : std::nullopt;
      group.doubted = false;
    }
    group.primary_info = std::max(group.primary_info, dated);
    group.doubted &= !by_answer;
    wake(m.entry.group);
  }

  // The group's primary failed to answer or to be reached: writes wait until someone is shown to be primary.
  void doubt_primary(EndpointId id) {
    Group& group = groups_[rows_.at(id).entry.group];
    if (group.primary != id || group.doubted) return;
    group.doubted = true;
    log(PrimarySuspected{rows_.at(id).entry.group, id});
  }

  void set_aside(MemberRow& m, bool needs_trial, EjectionReason reason) {
    doubt_primary(m.entry.id);
    m.needs_trial |= needs_trial;
    if (m.set_aside) return;
    m.set_aside = true;
    m.aside_at = now_;
    pause_trials(m);
    log(EndpointEjected{m.entry.id, reason});
  }

  void readmit(MemberRow& m) {
    m.failures = 0;
    const bool lost = std::exchange(m.lost, false);
    if (!m.set_aside) return;
    m.set_aside = m.needs_trial = false;
    m.errors = 0;
    // Guards a member back before the list says that it restarted: it refused a connection, or was silent and
    // comes back without what was written meanwhile. One that applied the log all the while was only out of
    // reach, by a bad way or dear connections, and is warm. Costs a hung one that comes back some traffic.
    const bool applied = m.position > m.aside_at && now_ - m.position < (now_ - m.aside_at) / 2;
    if (lost || (now_ - m.aside_at > s_.overload_duration && m.heard_at < m.aside_at && !applied))
      m.cold_since = now_;
    wake(m.entry.group);
    log(EndpointReadmitted{m.entry.id});
  }

  void pause_trials(MemberRow& m) {
    m.trial_at = now_ + m.trial_gap;
    m.trial_gap = std::min(2 * m.trial_gap, kTrialGapMost);
  }

  void count_timeout(MemberRow& m, bool trial) {
    if (trial) pause_trials(m);
    if (++m.failures >= kTimeoutsInRow) set_aside(m, true, EjectionReason::ConsecutiveTimeouts);
  }

  double cold_share(const MemberRow& m) const {
    if (m.cold_since == kUnknown || s_.slow_start_duration <= 0) return 1;
    const double part = static_cast<double>(now_ - m.cold_since) / static_cast<double>(s_.slow_start_duration);
    return part >= 1 ? 1 : s_.slow_start_initial_capacity + (1 - s_.slow_start_initial_capacity) * std::max(0.0, part);
  }

  // ---- admission

  Nanos need_of(const Job& job) const {
    const RequestClass& c = s_.classes[job.request.class_index];
    if (c.consistency == ConsistencyLevel::BoundedStaleness) return now_ - c.max_staleness;
    if (c.consistency == ConsistencyLevel::Session) return job.token;
    return c.consistency == ConsistencyLevel::Strong ? job.arrived : kUnknown;
  }

  // DESIGN's test and nothing else: not set aside, and known to be current for this read.
  bool admitted(const MemberRow& m, const Job& job) const {
    if (m.set_aside) return false;
    const ConsistencyLevel level = s_.classes[job.request.class_index].consistency;
    if (level == ConsistencyLevel::Eventual) return true;
    if (level != ConsistencyLevel::BoundedStaleness && level != ConsistencyLevel::Session) return false;
    return m.position != kUnknown && m.position >= need_of(job);
  }

  // ---- choice

  bool usable(const MemberRow& m) const { return !m.told_leaving && m.entry.status == EndpointStatus::Up; }

  double members_in(const Group& group) const {
    const auto in = [this](EndpointId id) { return usable(rows_.at(id)) && !rows_.at(id).set_aside; };
    return std::max(1.0, double(std::count_if(group.members.begin(), group.members.end(), in)));
  }

  // Guards a read that met a broken connection at every member against waiting while all live on: once as
  // many attempts went out as there are members to serve it, one that broke may have it again.
  bool tried(const Job& job, EndpointId id) const {
    const Group& group = groups_.at(job.request.group);
    const auto round = [&] { return double(job.attempts.size()) + group.doubted >= members_in(group); };
    return std::any_of(job.attempts.begin(), job.attempts.end(),
                       [&](const Attempt& a) { return a.member == id && !(a.broke && round()); });
  }

  // Departure: acts on reads that any member may serve and that run far longer than those which need current
  // data. A replica may apply nothing while it holds one, so they go together to one, the same everywhere; it
  // serves others when proven current. What finds no room goes to the primary. Hurts if they fill a machine.
  bool is_long(std::size_t at) const {
    if (s_.classes[at].consistency != ConsistencyLevel::Eventual) return false;
    for (std::size_t i = 0; i < s_.classes.size(); ++i)
      if (s_.classes[i].consistency == ConsistencyLevel::BoundedStaleness || s_.classes[i].consistency == ConsistencyLevel::Session)
        if (stats_[at].usual < kLong * stats_[i].usual) return false;
    return true;
  }

  std::optional<EndpointId> gatherer(const Group& group) const {
    std::optional<EndpointId> best;
    bool any_long = false;
    for (std::size_t i = 0; i < s_.classes.size(); ++i) any_long |= is_long(i);
    for (const EndpointId id : group.members) {
      const MemberRow& m = rows_.at(id);
      if (!any_long || !usable(m) || m.set_aside || group.primary == id || cold_share(m) < 1) continue;
      if (!best || mix(id) > mix(*best)) best = id;
    }
    return best;
  }

  // Departure: acts where members check reads and a replica's known position is too old to prove it current.
  // Once heard, it is taken as current unless a miss or its position when last shown tells otherwise; its own
  // check keeps the read from stale data. Also covers probes that fail. Costs a miss where it fell behind.
  bool presumed(const MemberRow& m, const Job& job) const {
    if (s_.staleness_check == StalenessCheck::None || m.set_aside || disproved(m)) return false;
    const RequestClass& c = s_.classes[job.request.class_index];
    if (c.consistency == ConsistencyLevel::Session) return true;
    return c.consistency == ConsistencyLevel::BoundedStaleness && (m.shown_at == kUnknown || m.shown_at - m.position <= c.max_staleness);
  }

  // Departure: acts where the even split leaves the replica with the long reads, or the primary once replicas
  // are pressed (answers take over half of what is roomy), with less work than the rest. A member's part is
  // what its even share of all work leaves beside what only it can do. Hurts where others' mix differs.
  double part(const Group& group, EndpointId id, bool long_reads_here) const {
    double all = 0, own = 0;
    for (std::size_t i = 0; i < s_.classes.size(); ++i) {
      const ConsistencyLevel level = s_.classes[i].consistency;
      const double work = stats_[i].seen * stats_[i].usual;
      all += work;
      if (group.primary == id ? level == ConsistencyLevel::Write || level == ConsistencyLevel::Strong
                              : long_reads_here && is_long(i))
        own += work;
    }
    return std::max(0.0, all - own * members_in(group));
  }

  std::optional<EndpointId> hashed(const Job& job, std::vector<std::pair<EndpointId, double>> pool) {
    for (std::uint64_t h = job.key; !pool.empty(); h = mix(h)) {
      double sum = 0;
      for (const auto& [id, weight] : pool) sum += weight;
      double point = unit(h) * sum;
      std::size_t at = 0;
      while (at + 1 < pool.size() && (point -= pool[at].second) >= 0) ++at;
      MemberRow& m = rows_.at(pool[at].first);
      if (has_room(m, job) && cold_room(m, job)) return m.entry.id;
      pool.erase(pool.begin() + static_cast<std::ptrdiff_t>(at));
    }
    return std::nullopt;
  }

  // Departure: acts when a set-aside member's probe did not tell: it failed, could not be afforded, or proves
  // little after time-outs or errors. One safe read at a time tries it, after a pause that doubles with each
  // failure; also lets a fresh router's first reads through. It gets no more than the hash would give it,
  // unless no other is left: many routers, each for itself, would push over one that just started.
  std::optional<EndpointId> trial(const Job& job, bool none_left) {
    if (s_.classes[job.request.class_index].idempotency != Idempotency::Idempotent || !job.attempts.empty()) return {};
    std::vector<EndpointId> pool;
    for (const EndpointId id : groups_[job.request.group].members) {
      const MemberRow& m = rows_.at(id);
      const bool ready = m.set_aside && !m.probing && !m.trial_out && now_ >= m.trial_at && usable(m);
      const ConsistencyLevel level = s_.classes[job.request.class_index].consistency;
      const bool current = level == ConsistencyLevel::Eventual || s_.staleness_check != StalenessCheck::None || m.position >= need_of(job);
      if (!none_left || (ready && current)) pool.push_back(ready && current ? id : kNobody);
    }
    const EndpointId id = pool.empty() ? kNobody : pool[mix(job.draw) % pool.size()];
    return id == kNobody ? std::nullopt : std::optional<EndpointId>(id);
  }

  std::optional<EndpointId> choose_replica(const Job& job) {
    const Group& group = groups_[job.request.group];
    const auto gathered = gatherer(group);
    if (gathered && is_long(job.request.class_index)) {
      if (tried(job, *gathered)) return {};
      return hashed(job, {{*gathered, 1}});
    }
    std::vector<std::pair<EndpointId, double>> pool;
    bool replicas = false;
    std::vector<EndpointId> open; // not set aside, whatever their position
    for (const EndpointId id : groups_[job.request.group].members) {
      const MemberRow& m = rows_.at(id);
      if (!usable(m) || m.set_aside || tried(job, id)) continue;
      const double weight = part(group, id, gathered == id) * (group.primary == id ? pressed(false) : 1);
      if (group.primary == id) {
        if (!group.doubted && weight > 0) pool.emplace_back(id, weight);
        continue;
      }
      if (admitted(m, job) || (gathered != id && presumed(m, job))) {
        pool.emplace_back(id, weight);
        replicas = true;
      }
      open.push_back(id);
    }
    if (replicas) return hashed(job, pool);
    if (s_.staleness_check == StalenessCheck::None) return {};
    // None admitted, and members check: the most advanced one first, unless it is known to lag too far.
    std::optional<EndpointId> best;
    for (const EndpointId id : open) {
      MemberRow& m = rows_.at(id);
      if ((disproved(m) && m.disproved <= need_of(job)) || !has_room(m, job)) continue;
      if (!best || m.position > rows_.at(*best).position) best = id;
    }
    return best;
  }

  // Departure: acts when answers take too large a part of their aims, by overload, slow machines, repeats. Of
  // the requests the hash gives a member, only so many pass that the rest are in time; what is left goes to
  // others or waits. A member's own answers, few at a small router, are weighed against those of its role and
  // zone: also covers a bad way between zones. Hurts while one group alone is crowded with few answers.
  Crowd& pool_of(const MemberRow& m) {
    return pools_[{m.entry.zone, groups_[m.entry.group].primary == m.entry.id}].fade(now_);
  }

  bool has_room(MemberRow& m, const Job& job) {
    const Crowd &pool = pool_of(m), &own = m.crowd.fade(now_);
    // Guards a router with few requests against taking chance for a crowd: of a hundred such, many would.
    const double mean = (pool.sum + kEnough * kUsual) / (pool.n + kEnough);
    // About squared, as clients repeat what was late: more for what is worth less than the mean for its work.
    const double room = kRoomy * (own.n + kPooled) / (own.sum + kPooled * mean + 1e-9);
    double worth = 0, work = 0;
    for (std::size_t i = 0; i < s_.classes.size(); ++i)
      worth += stats_[i].seen * s_.classes[i].priority_weight, work += stats_[i].seen * stats_[i].usual;
    const double power = std::min(2 * kLong, std::max(1.0, 2 * worth / work / value_of(job)));
    return unit(job.draw + 1) < std::pow(room, power);
  }

  // An attempt without an answer tells of a crowd only where the answers that do come are slow, or none come:
  // where they are quick, answers are being lost, and holding requests back would not help.
  void learn_silence(MemberRow& m) {
    const Crowd& pool = pool_of(m);
    if (pool.n < 1 || pool.slow()) learn_crowding(m, 2);
  }

  void learn_crowding(MemberRow& m, double part_of_aim) {
    for (Crowd* crowd : {&m.crowd.fade(now_), &pool_of(m)})
      crowd->sum += std::min(part_of_aim, 2.0), crowd->n += 1; // late is late
  }

  // How far a role's members are from roomy: 1 where answers take all that is roomy, 0 up to half of it.
  double pressed(bool primaries) { return std::clamp(2 * mean_of(primaries) / kRoomy - 1, 0.0, 1.0); }

  // How slowly a role's members answer, as a part of the aims, one of them left out.
  double mean_of(bool primaries, const Crowd& but = {}) {
    double sum = -but.sum, n = -but.n;
    for (auto& [key, pool] : pools_) {
      if (key.second != primaries) continue;
      sum += pool.fade(now_).sum, n += pool.n;
    }
    return std::max(sum, 0.0) / (std::max(n, 0.0) + 1);
  }

  // ---- attempts

  // When an attempt counts as a time-out against its member: far beyond the usual for the class, and beyond
  // what the other members take now. Where all are slow none is to blame, so a jam sets no one aside, puts no
  // primary in doubt, and load is not driven onto the last one left.
  Nanos overdue_after(const Job& job, EndpointId id) {
    const RequestClass& c = s_.classes[job.request.class_index];
    const double aim = static_cast<double>(c.latency_objective);
    MemberRow& m = rows_.at(id);
    const bool primary = groups_[job.request.group].primary == id;
    const double others = std::max(mean_of(primary, m.crowd.fade(now_)), mean_of(!primary));
    const double limit = std::max(kOverdue * work_of(job), aim / 4) + 2 * others * aim;
    return static_cast<Nanos>(std::min(limit, 2.0 * static_cast<double>(c.deadline)));
  }

  std::size_t attempts_of(const Job& job) const { // what the site allows, and what its contract does
    return std::min(s_.max_attempts, job.request.max_attempts ? job.request.max_attempts : s_.max_attempts);
  }

  void advance(Job& job) {
    if (job.closed || (now_ < job.not_before && now_ < job.end)) return;
    const RequestClass& c = s_.classes[job.request.class_index];
    if (job.out > 0) return hedge(job);
    if (now_ >= job.end || job.attempts.size() >= attempts_of(job)) return give_up(job);
    if (!repeatable(job)) return give_up(job);
    if (c.consistency == ConsistencyLevel::Write || c.consistency == ConsistencyLevel::Strong) return to_primary(job);
    if (const auto id = trial(job, false); id && send(job, *id, true)) return;
    if (const auto id = choose_replica(job); id && send(job, *id, false)) return;
    if (const auto id = trial(job, true); id && send(job, *id, true)) return;
    wait_for_proof(job);
  }

  // None admitted: wait while probing; the primary once waiting longer would miss the aim. Guards reads of a
  // group without one against waiting for the next write to find it, which with many routers takes seconds:
  // each such read asks a group's members once, beyond the share: a probe costs less than a read is worth.
  void wait_for_proof(Job& job) {
    Group& group = groups_[job.request.group];
    int extra = now_ == job.arrived && (!group.primary || group.doubted) ? kProbeExtra : 0;
    const Nanos need = need_of(job);
    bool hope = false;
    // Departure: acts where bounded reads of a group come further apart than a proof holds, as with many
    // routers: one member is asked at a time, and waited for, as old is not behind. Hurts where several lag.
    const std::vector<EndpointId>& ids = group.members;
    bool one = group.thin && extra == 0, asked = false;
    for (const EndpointId id : ids)
      asked |= one && rows_.at(id).probing && now_ - rows_.at(id).probed_at < 2 * kPulse;
    for (std::size_t i = 0; i < ids.size(); ++i) {
      const EndpointId id = ids[(i + job.draw) % ids.size()];
      MemberRow& m = rows_.at(id);
      if (!usable(m) || (group.primary == id && !group.doubted)) continue;
      if (!asked && probe(m, kProbeGap, extra > 0)) asked = one, extra -= extra > 0;
      if (group.primary == id) continue;
      // Behind by more than the time left, it will not catch up before the aim.
      if (m.position != kUnknown && !tried(job, id))
        hope |= m.set_aside ? !m.needs_trial : need != kUnknown && need < m.position + job.aim_at - now_;
    }
    const Nanos last = job.aim_at - static_cast<Nanos>(2 * work_of(job));
    if ((hope || asked) && now_ < last) return;
    if (!group.primary || group.doubted || tried(job, *group.primary)) return;
    if (has_room(rows_.at(*group.primary), job)) send(job, *group.primary, false);
  }

  void to_primary(Job& job) {
    Group& group = groups_[job.request.group];
    if (!group.primary || group.doubted || !usable(rows_.at(*group.primary))) return find_primary(group, job);
    if (has_room(rows_.at(*group.primary), job)) send(job, *group.primary, false);
  }

  // Departure: acts while a group has no primary that answers. Where probes tell roles they are asked; else
  // one waiting write at a time tries the replicas, most advanced first: a wrong one turns it away unrun.
  void find_primary(Group& group, Job& job) {
    // Guards against holding a client for an election, which lasts seconds: what was not sent by half of its
    // time is refused while its client can still come back. One in doubt may answer any time: that is held.
    const bool half = 2 * (now_ - job.arrived) >= job.request.deadline - job.arrived - 4 * kPulse;
    const bool known = group.primary_info != kUnknown; // ever
    const bool gone = !group.primary && known && group.primary_info < now_ - kHandOver;
    if (half && gone && job.attempts.empty()) return give_up(job);
    for (const EndpointId id : group.members) {
      MemberRow& m = rows_.at(id);
      if (usable(m) && (s_.load_reports_hold_roles || m.set_aside)) probe(m, 2 * kProbeGap, true);
    }
    const bool asked = s_.load_reports_hold_roles && s_.load_report_source != LoadReportSource::None;
    if ((asked && now_ - job.arrived < kProbeGap) || now_ - kProbeGap < group.scouted_at) return;
    std::optional<EndpointId> best;
    for (const EndpointId id : group.members) {
      const MemberRow& m = rows_.at(id);
      // Tried once, a member may have it again if it has shown since that it is the primary: it may have
      // broken one connection and live on, and then no one else would ever take the write.
      const bool shown =
          group.primary == id && !job.attempts.empty() && group.primary_info > job.attempts.back().sent_at;
      // One that shows itself by probes, where answers are quick, loses some: the pause, which doubles, would
      // keep writes from it for seconds. One that hangs shows nothing; where all are slow, it may be spent.
      const bool awake = group.primary == id && m.shown_at > now_ - 4 * kProbeGap && !pool_of(m).slow();
      if (!usable(m) || (m.set_aside && now_ < m.trial_at && !awake) || (tried(job, id) && !shown)) continue;
      if (!best || m.position > rows_.at(*best).position) best = id;
    }
    if (!best) return;
    group.scouted_at = now_;
    send(job, *best, false);
  }

  // An attempt is late. Where the site allows it a hedge, a second copy, goes to another replica: at once if
  // the member was set aside, else within a small share of all requests.
  void hedge(Job& job) {
    const RequestClass& c = s_.classes[job.request.class_index];
    const Attempt& last = job.attempts.back();
    if (c.idempotency == Idempotency::NotIdempotent || job.hedged || !last.out || c.consistency == ConsistencyLevel::Strong) return;
    if (c.consistency == ConsistencyLevel::Write || job.attempts.size() >= attempts_of(job)) return;
    const bool bad = rows_.at(last.member).set_aside;
    if (!s_.hedging_allowed || !last.overdue || (!bad && hedges_ < 1)) return;
    if (now_ + static_cast<Nanos>(work_of(job)) > job.end) return;
    const auto id = choose_replica(job);
    if (!id || !send(job, *id, false)) return;
    if (!bad) hedges_ -= 1;
    job.hedged = true;
  }

  double value_of(const Job& job) const { return s_.classes[job.request.class_index].priority_weight / work_of(job); }

  // What waits in a group goes in order of worth for its work: in overload the least worth is left over.
  void release(GroupId id) {
    std::vector<Job*> waiting;
    groups_[id].released_at = now_;
    for (const std::uint64_t seq : groups_[id].waiting) waiting.push_back(&jobs_.at(seq));
    std::stable_sort(waiting.begin(), waiting.end(),
                     [this](const Job* a, const Job* b) { return value_of(*a) > value_of(*b); });
    for (Job* job : waiting) advance(*job), settle(*job);
  }

  // ---- gates

  double work_of(const Job& job) const { return stats_[job.request.class_index].usual; }

  // Departure: acts while a member is cold. It keeps its place in the hash, and the primary its writes, but
  // only for a part of the requests, drawn by the request, so that leavings do not add up on the next: its
  // sure share, times the root of what fells it where the list told of its start, as usual work leaves room;
  // less while its role is crowded, as clients repeat what is refused. Hurts one with the work of several.
  bool cold_room(const MemberRow& m, const Job& job) {
    if (cold_share(m) >= 1) return true;
    const Crowd& pool = pool_of(m);
    const double more = m.cold_since == m.entry.started_at ? std::sqrt(s_.overload_factor) : 1;
    const double crowded = pool.slow() ? kRoomy * pool.n / pool.sum : 1;
    return unit(job.draw) < more * cold_share(m) * crowded;
  }

  // No effect twice: what may have run goes out again only where its key holds, within its window.
  bool repeatable(const Job& job) const {
    const RequestClass& c = s_.classes[job.request.class_index];
    if (job.may_have_run == kUnknown || c.idempotency == Idempotency::Idempotent) return true;
    return c.idempotency == Idempotency::IdempotencyKey && now_ - job.may_have_run < c.deduplication_window - s_.clock_resolution;
  }

  // The rules on what may go to a member: kept at the decision, and again at the moment of writing.
  bool may_go(const Job& job, const MemberRow& m) {
    const RequestClass& c = s_.classes[job.request.class_index];
    if (job.closed || now_ >= job.request.deadline || m.entry.group != job.request.group) return false;
    if (!usable(m) || !repeatable(job)) return false; // drains kept, no effect twice
    const bool keyed = c.idempotency == Idempotency::IdempotencyKey && job.may_have_run != kUnknown;
    const bool bound = keyed && c.deduplication_scope == DeduplicationScope::Zone;
    if (bound && m.entry.zone != rows_.at(job.ran_at).entry.zone) return false;
    if (s_.staleness_check != StalenessCheck::None || c.consistency == ConsistencyLevel::Write || c.consistency == ConsistencyLevel::Eventual) return true;
    const bool primary = groups_[job.request.group].primary == m.entry.id;
    return primary || (m.position != kUnknown && m.position >= need_of(job)); // no stale read
  }

  // Every send passes here; the five rules that concern sends are kept here.
  bool send(Job& job, EndpointId id, bool trial) {
    const auto it = rows_.find(id);
    if (it == rows_.end() || job.attempts.size() >= attempts_of(job)) return false;
    MemberRow& m = it->second;
    const bool safe = s_.classes[job.request.class_index].idempotency == Idempotency::Idempotent;
    if (job.out > 0 && (!s_.hedging_allowed || !safe)) return false;
    if (!may_go(job, m) || !cold_room(m, job)) return false; // no cold member pushed over
    if (trial) m.trial_out = true;
    job.attempts.push_back({id, now_, need_of(job), true, false, trial});
    ++job.out;
    if (const auto session = writer(job)) writes_.sent(*session, now_);
    act(StartAttempt{job.request.id, id, job.request.deadline - now_});
    return true;
  }

  // Beyond its team's budget a request is refused before anything was sent, and told when the next one fits.
  bool within_budget(Job& job) {
    if (job.request.rate_limit_retry_after <= 0) return true;
    give_up(job, job.request.rate_limit_retry_after);
    return false;
  }

  // Every final answer of ours passes here: refused when that is true to say, failed otherwise.
  void give_up(Job& job, std::optional<Nanos> come_back = {}) {
    if (job.closed || job.out > 0) return;
    const RequestClass& c = s_.classes[job.request.class_index];
    job.closed = true;
    const bool harmless = c.idempotency == Idempotency::Idempotent || job.may_have_run == kUnknown ||
                          (c.idempotency == Idempotency::IdempotencyKey && c.deduplication_scope == DeduplicationScope::All);
    if (!harmless) return act(FailRequest{job.request.id});
    act(RejectRequest{job.request.id, come_back.value_or(s_.retry_after_allowed ? s_.max_retry_after : 0)});
  }

  // ---- events

  void on(const EndpointList& list) {
    if (list.kind == EndpointList::Kind::Failed) {
      if (s_.discovery_mode == DiscoveryMode::Poll) watch_at_ = now_ + 10 * kProbeGap;
      return;
    }
    if (s_.discovery_mode == DiscoveryMode::Poll && list.kind == EndpointList::Kind::Cached) watch_at_ = now_;
    std::set<EndpointId> seen;
    for (const Endpoint& entry : list.endpoints) seen.insert(entry.id), take_entry(entry, list);
    if (list.kind != EndpointList::Kind::Delta)
      for (auto& [id, m] : rows_)
        if (!seen.count(id)) leave(m, EndpointStatus::Removed);
    forget_gone();
  }

  // Bounds memory and the work per request: members are replaced all day, and each comes under a new id.
  void forget_gone() {
    std::set<EndpointId> held; // by requests still open
    for (const auto& [seq, job] : jobs_)
      for (const Attempt& a : job.attempts) held.insert(a.member);
    for (auto it = rows_.begin(), next = it; it != rows_.end(); it = next) {
      next = std::next(it);
      const auto& [id, m] = *it;
      if (m.left_at == kNever || now_ - m.left_at < kForget || held.count(id)) continue;
      Group& group = groups_[m.entry.group];
      group.members.erase(std::remove(group.members.begin(), group.members.end(), id), group.members.end());
      if (group.primary == id) group.primary.reset();
      forget_group(m.entry.group);
      rows_.erase(it);
    }
  }

  // Bounds memory: clients may name groups that no list ever held, and lists groups that come and go.
  void forget_group(GroupId id) {
    const auto at = groups_.find(id);
    if (at != groups_.end() && at->second.members.empty() && at->second.waiting.empty()) groups_.erase(at);
  }

  // Where only draining binds, a member listed as gone, or left out, that never drained is taken as running:
  // lists shrink and go back while members serve, and one that is gone shows at its connections.
  void leave(MemberRow& m, EndpointStatus state) {
    if (s_.only_draining_is_binding && state == EndpointStatus::Removed && !m.told_leaving) {
      m.entry.status = EndpointStatus::Up;
      return;
    }
    m.entry.status = state;
    m.left_at = state == EndpointStatus::Removed ? std::min(m.left_at, now_) : kNever;
    m.told_leaving = true;
    doubt_primary(m.entry.id);
    wake(m.entry.group);
  }

  void take_entry(const Endpoint& entry, const EndpointList& list) {
    const bool fresh = !rows_.count(entry.id);
    if (fresh && entry.status == EndpointStatus::Removed) return;
    MemberRow& m = rows_[entry.id];
    const Nanos started = m.entry.started_at;
    const bool was_listed_primary = m.entry.listed_as_primary;
    m.entry = entry;
    Group& group = groups_[entry.group];
    std::vector<EndpointId>& ids = group.members;
    if (fresh) ids.insert(std::lower_bound(ids.begin(), ids.end(), entry.id), entry.id);
    if (entry.started_at > 0 && (fresh || entry.started_at != started))
      m.cold_since = std::max(m.cold_since, entry.started_at);
    if (entry.status != EndpointStatus::Up) return leave(m, entry.status);
    m.told_leaving = false;
    m.left_at = kNever;
    if (entry.listed_as_primary && (fresh || !was_listed_primary) && s_.listed_role != ListedRole::None && !group.primary)
      believe(m, true, list.kind == EndpointList::Kind::Cached ? kUnknown + 1 : now_ - kStaleNews, false);
    if (fresh && double(list.endpoints.size()) <= kProbeBurst) probe(m); // more: when their group is asked for
    wake(entry.group);
  }

  void on(const Request& request) {
    if (request.class_index >= s_.classes.size() || ids_.count(request.id)) return;
    const RequestClass& c = s_.classes[request.class_index];
    const std::uint64_t seq = next_++;
    ids_[request.id] = seq;
    Job& job = jobs_[seq];
    job.request = request, job.seq = seq, job.arrived = now_, job.aim_at = now_ + c.latency_objective;
    job.end = request.deadline - kPulse - 2 * s_.clock_resolution;
    if (c.late_weight_fraction <= 0) job.end = std::min(job.end, job.aim_at);
    job.draw = hash_text(request.id);
    job.key = mix(request.session ? *request.session : job.draw + 2);
    if (c.consistency == ConsistencyLevel::Session) {
      if (s_.session_token_source == SessionTokenSource::Client) {
        if (request.session_token_age && *request.session_token_age > 0) job.token = now_ - *request.session_token_age;
      } else if (request.session) {
        job.token = writes_.seen_by(*request.session, now_);
      }
    }
    for (ClassStat& stat : stats_) stat.seen *= 1 - kStep;
    stats_[request.class_index].seen += 1;
    hedges_ = std::min(hedges_ + kHedgeShare, kHedgeBurst);
    Group& group = groups_[request.group];
    if (c.consistency == ConsistencyLevel::BoundedStaleness) group.thin = std::exchange(group.read_at, now_) < now_ - c.max_staleness;
    const bool alone = group.thin && (c.consistency == ConsistencyLevel::BoundedStaleness || c.consistency == ConsistencyLevel::Session);
    const double cost = std::max(kProofCost, pressed(true));
    const double share = alone ? cost / std::max(s_.health_check_price, cost) : kProbeShare;
    probes_ = std::min(probes_ + share, kProbeBurst);
    if (within_budget(job)) {
      if (c.consistency != ConsistencyLevel::Write) keep_heard(group, c);
      advance(job);
    }
    settle(job);
  }

  // Where sessions' writes are remembered here: the session of a write.
  std::optional<std::uint64_t> writer(const Job& job) const {
    const bool write = s_.classes[job.request.class_index].consistency == ConsistencyLevel::Write;
    return write && s_.session_token_source == SessionTokenSource::Router ? job.request.session : std::nullopt;
  }

  void on(const AttemptResult& outcome) {
    const auto at = rows_.find(outcome.endpoint);
    MemberRow* m = at == rows_.end() ? nullptr : &at->second;
    if (m && (outcome.status == AttemptStatus::Ok || outcome.status == AttemptStatus::Misdirected ||
              outcome.status == AttemptStatus::Error || outcome.status == AttemptStatus::Rejected))
      hear_answer(*m, outcome);
    const auto id = ids_.find(outcome.request_id);
    if (id == ids_.end()) return;
    Job& job = jobs_.at(id->second);
    if (outcome.attempt < job.attempts.size() && job.attempts[outcome.attempt].out && m) {
      Attempt& a = job.attempts[outcome.attempt];
      a.out = false;
      --job.out;
      if (a.trial) m->trial_out = false;
      judge(*m, job, a, outcome);
    }
    if (m && outcome.status != AttemptStatus::Timeout && outcome.status != AttemptStatus::ConnectFailed) m->heard_at = now_;
    if (outcome.request_finished) job.closed = true;
    if (!job.closed) advance(job);
    settle(job);
  }

  void hear_answer(MemberRow& m, const AttemptResult& outcome) {
    // Guards against reads begun before a hand-over: they end with the old role, each sending all that waits
    // to a member that has turned writes away since, until their attempts are used up.
    if (outcome.role == Role::Replica) m.denied_at = now_;
    const bool primary = outcome.role == Role::Primary && now_ - outcome.elapsed > m.denied_at;
    if (primary || outcome.role == Role::Replica) believe(m, primary, now_, true);
    if (outcome.replication_position) prove(m, *outcome.replication_position, now_);
    take_report(m, outcome.load_report);
  }

  void take_report(MemberRow& m, const LoadReport& report) { // of an answer, or of a probe's
    // One that broke connections and answers this soon on a new one never stopped: restarts take longer.
    m.lost &= now_ - m.broke_at >= kBlink;
    m.breaks = 0;
    if (report.replication_position) prove(m, *report.replication_position, now_);
    if (!report.is_primary) return;
    // A primary stands at the present, so its position dates the report.
    const Nanos dated = report.replication_position ? *report.replication_position : now_ - kStaleNews;
    believe(m, *report.is_primary, dated, false);
  }

  // What an attempt's end says of the member, and of what the request may have done.
  void judge(MemberRow& m, Job& job, Attempt& a, const AttemptResult& outcome) {
    const RequestClass& c = s_.classes[job.request.class_index];
    ClassStat& stat = stats_[job.request.class_index];
    const bool read = c.consistency != ConsistencyLevel::Write;
    // Refused at once, the process is down; run into the time-out, the way or the set-up may be slow.
    const bool slow = outcome.status == AttemptStatus::ConnectFailed && outcome.elapsed >= s_.connect_timeout / 2;
    switch (outcome.status) {
    case AttemptStatus::Ok: {
      const double took = static_cast<double>(outcome.elapsed);
      if (!a.overdue) stat.usual *= took > stat.usual ? 1 + kStep : 1 - kStep;
      if (stalled_at_ != now_) learn_crowding(m, took / static_cast<double>(c.latency_objective));
      m.errors -= kSmooth * m.errors;
      if (read && s_.staleness_check != StalenessCheck::None && a.need != kUnknown)
        prove(m, a.need, a.need > m.position ? a.sent_at : kUnknown);
      if (!a.overdue) m.failures = 0;
      if (!a.overdue && (a.trial || !m.needs_trial)) { // an answer proves more than a probe
        m.trial_gap = kTrialGap;
        readmit(m);
      }
      break;
    }
    case AttemptStatus::Misdirected:
      m.failures = 0;
      if (read && a.need != kUnknown) {
        m.disproved = std::max(m.disproved, a.need);
        probe(m);
      }
      if (!read && outcome.role != Role::Primary) believe(m, false, now_, true);
      break;
    case AttemptStatus::Error:
      m.errors += kSmooth * (1 - m.errors);
      if (a.trial) pause_trials(m);
      if (m.errors > kErrorShare && groups_[m.entry.group].primary != m.entry.id)
        set_aside(m, true, EjectionReason::ErrorRatio);
      break;
    case AttemptStatus::Timeout:
      if (!a.overdue) learn_silence(m);
      if (!a.overdue && outcome.elapsed >= overdue_after(job, m.entry.id)) count_timeout(m, a.trial);
      break;
    case AttemptStatus::ConnectFailed:
    case AttemptStatus::Reset:
      a.broke = true;
      if (slow) learn_crowding(m, static_cast<double>(outcome.elapsed) / static_cast<double>(c.latency_objective));
      if (a.trial) pause_trials(m);
      // One connection broken at once is chance: members reset some and live on, also while set aside as
      // slow. Two in a row, as with time-outs, are a symptom: of one that died, all break.
      if (!slow && ++m.breaks == 1) m.broke_at = now_;
      m.lost |= m.breaks >= kTimeoutsInRow;
      if (!slow && !m.set_aside && ++m.failures < kTimeoutsInRow) break;
      set_aside(m, false, EjectionReason::ConnectionFailure);
      probe(m, kProbeGap, true);
      break;
    case AttemptStatus::Rejected:
      learn_crowding(m, 2);
      if (groups_[m.entry.group].primary == m.entry.id)
        job.not_before = now_ + (5 * kPulse << job.attempts.size());
      break;
    default: break;
    }
    const bool ran = outcome.status == AttemptStatus::Error || outcome.status == AttemptStatus::Timeout ||
                     outcome.status == AttemptStatus::Reset || outcome.status == AttemptStatus::Cancelled;
    if (const auto session = writer(job)) {
      using End = session_tokens::SessionWrites::End;
      const End end = ran ? End::Unknown : outcome.status == AttemptStatus::Ok ? End::Answered : End::NeverRan;
      writes_.ended(*session, a.sent_at, end, outcome.commit_position ? outcome.commit_position : outcome.replication_position, now_);
    }
    if (ran && job.may_have_run == kUnknown) {
      job.may_have_run = a.sent_at;
      job.ran_at = m.entry.id;
    }
  }

  void on(const HealthCheckResult& probed) {
    const auto at = rows_.find(probed.endpoint);
    if (at == rows_.end()) return;
    MemberRow& m = at->second;
    m.probing = false;
    // Answers beat probes: one that fails sets no one aside, as probes may fail, or be too many, while
    // requests are served. A member that died shows at the next request's connection.
    if (!probed.succeeded) return wake(m.entry.group);
    take_report(m, probed.load_report);
    if (m.needs_trial) return;
    // Guards writes against waiting for a scout after each broken connection: a primary that takes a new one
    // and says what it is was not lost. After time-outs only an answer tells, as a probe proves little.
    Group& group = groups_[m.entry.group];
    if (group.primary == m.entry.id && probed.load_report.is_primary.value_or(false)) group.doubted = false;
    readmit(m);
    wake(m.entry.group);
  }

  void on(const ClientDisconnected& gone) {
    const auto id = ids_.find(gone.request_id);
    if (id == ids_.end()) return;
    Job& job = jobs_.at(id->second);
    job.closed = true, settle(job);
  }

  void on(const TimerExpired&) {
    if (now_ + s_.clock_resolution > armed_) armed_ = kNever; // a clock may be coarser than our nanoseconds
    while (!due_.empty() && due_.begin()->first <= now_) {
      Job& job = jobs_.at(due_.begin()->second);
      due_.erase({std::exchange(job.look_at, kNever), job.seq});
      for (Attempt& a : job.attempts) {
        if (!a.out || a.overdue || stalled_at_ == now_) continue;
        if (now_ - a.sent_at < overdue_after(job, a.member)) continue;
        a.overdue = true;
        stats_[job.request.class_index].usual *= 1 + kStep;
        MemberRow& m = rows_.at(a.member);
        learn_silence(m);
        count_timeout(m, a.trial);
      }
      if (job.out == 0) {
        wake(job.request.group); // looked at in order of worth
        due_.insert({job.look_at = now_ + kPulse, job.seq});
        continue;
      }
      advance(job);
      settle(job);
    }
    if (watch_at_ > now_) return;
    watch_at_ = kNever;
    act(WatchEndpoints{});
  }

  // A read's group is kept known, within the share of probes that this router's own traffic allows: members
  // set aside are probed until they answer, positions are refreshed before a bound outlives them.
  void keep_heard(const Group& group, const RequestClass& c) {
    for (const EndpointId id : group.members) {
      MemberRow& m = rows_.at(id);
      if (!usable(m)) continue;
      if (m.set_aside && (!m.needs_trial || m.lost)) probe(m, 4 * kProbeGap);
      if (!s_.load_reports_hold_positions || group.primary == id || m.set_aside) continue;
      const bool old = m.position == kUnknown || now_ - m.position > c.max_staleness / 2;
      if (c.consistency == ConsistencyLevel::BoundedStaleness && !group.thin && old) probe(m, c.max_staleness / 3);
      if (disproved(m)) probe(m, 5 * kProbeGap);
    }
  }

  bool probe(MemberRow& m, Nanos gap = kProbeGap, bool must = false) {
    if (!s_.health_checks_allowed || m.probing || !usable(m) || (!must && probes_ < 1)) return false;
    if (m.probed_at != kUnknown && now_ - m.probed_at < gap) return false;
    if (!must) probes_ -= 1;
    m.probing = true, m.probed_at = now_;
    act(SendHealthCheck{m.entry.id});
    return true;
  }

  // After each step of a request: forgets it when done, else notes that it waits and for when.
  void settle(Job& job) {
    Group& group = groups_[job.request.group];
    if (job.look_at != kNever) due_.erase({job.look_at, job.seq});
    group.waiting.erase(job.seq);
    if (!job.closed && job.out == 0) group.waiting.insert(job.seq);
    if (job.closed && job.out == 0) {
      const GroupId id = job.request.group;
      ids_.erase(job.request.id);
      jobs_.erase(job.seq);
      return forget_group(id);
    }
    // Routers started together must not retry in step: the seed gives each its own phase.
    const Nanos pulse = now_ + std::max(kPulse, s_.clock_resolution) + phase_;
    const bool safe = s_.classes[job.request.class_index].idempotency == Idempotency::Idempotent;
    phase_ = 0;
    job.look_at = job.out == 0 ? pulse : kNever;
    for (const Attempt& a : job.attempts) {
      if (!a.out || (a.overdue && (job.closed || job.hedged || !safe))) continue;
      const Nanos late = a.sent_at + overdue_after(job, a.member);
      job.look_at = std::min(job.look_at, a.overdue ? pulse : std::max(late, now_ + s_.clock_resolution));
    }
    if (job.look_at != kNever) due_.insert({job.look_at, job.seq});
  }

  void arm() {
    const Nanos at = std::min(due_.empty() ? kNever : due_.begin()->first, watch_at_);
    if (armed_ <= at) return;
    armed_ = std::max(at, now_ + s_.clock_resolution);
    act(SetTimer{armed_});
  }

  Settings s_;
  Nanos phase_; // spent at the first timer
  Nanos now_ = 0;
  std::vector<Action>* out_ = nullptr;
  std::map<EndpointId, MemberRow> rows_;
  std::map<GroupId, Group> groups_;
  std::map<std::uint64_t, Job> jobs_;                  // by arrival
  std::unordered_map<std::string, std::uint64_t> ids_; // looked up only
  session_tokens::SessionWrites writes_{s_.responses_known_after};
  std::vector<ClassStat> stats_;
  std::map<std::pair<std::string, bool>, Crowd> pools_; // by zone, and whether primary
  double hedges_ = kHedgeBurst;
  std::uint64_t next_ = 0;
  double probes_ = kProbeBurst;
  std::set<std::pair<Nanos, std::uint64_t>> due_; // when each request is looked at next
  std::vector<GroupId> changed_;
  Nanos armed_ = kNever;
  Nanos watch_at_ = kNever, stalled_at_ = kNever;
};

Router::Router(Settings settings, std::uint64_t seed)
    : core_(std::make_unique<Core>(std::move(settings), seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
void Router::handle(Nanos now, const Event& event, std::vector<Action>& actions) {
  core_->handle(now, event, actions);
}
bool Router::is_attempt_allowed(Nanos now, const std::string& id, EndpointId member) {
  return core_->is_attempt_allowed(now, id, member);
}
bool Router::is_health_check_allowed(EndpointId member) const { return core_->may_probe(member); }

} // namespace gorsebeam
