#include "connection_pool.h"

#include "net/log.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace gorsebeam::connection_pool {

namespace {
constexpr Nanos kStall = 150'000'000;  // between two pieces of one answer
constexpr std::size_t kAnswerSmall =
    16 * 1024;  // an answer up to this is read on even while memory is short
constexpr Nanos kRestFirst = 25'000'000;  // a rest shorter than this is none
constexpr double kRestEnough = 8;         // uses after such a rest that tell
constexpr double kRestWorse = 0.1;  // share of them broken, beyond that of connections not rested
constexpr double kRestSpan = 20e9;  // ns over which this fades: then it is tried anew

std::size_t span_of(Nanos rest, std::size_t count) {
  std::size_t at = 0;
  for (Nanos edge = kRestFirst; at + 1 < count && rest >= edge; edge *= 2)
    ++at;
  return at;
}
}  // namespace

void IdleLifetimeEstimator::fade() {
  const double kept = std::exp(-static_cast<double>(net::now() - faded_at_) / kRestSpan);
  for (Span& span : spans_)
    span.used *= kept, span.broke *= kept;
  faded_at_ = net::now();
}

void IdleLifetimeEstimator::count(Nanos rest, bool broke) {
  fade();
  Span& span = spans_[span_of(rest, spans_.size())];
  span.used += 1, span.broke += broke;
}

Nanos IdleLifetimeEstimator::limit() {
  fade();
  const Span& none = spans_[0];
  const double usual = none.used > 0 ? none.broke / none.used : 0;
  Nanos edge = kRestFirst;
  for (std::size_t at = 1; at < spans_.size(); ++at, edge *= 2)
    if (spans_[at].used >= kRestEnough && spans_[at].broke > (usual + kRestWorse) * spans_[at].used)
      return edge;
  return std::numeric_limits<Nanos>::max();
}

using proxy::AttemptId;
using proxy::UpstreamResponse;

class ConnectionPool::Connection : public net::Stream::Events {
public:
  enum class State { Dialing, Greeting, Idle, Writing, Waiting };

  Connection(ConnectionPool& pool, EndpointId member, const std::string& address)
      : member(member), pool_(pool), wire_(pool.wire_()), timer_([this] {
          due();
        }),
        address_(address), stream_(net::Stream::connect(address, *this)) {}

  bool good() const { return stream_ && stream_->open(); }

  bool quiet() const { return good() && stream_->input().size() == 0 && !stream_->readable(); }

  void assign(const PendingUse& errand) {
    errand_ = errand;
    busy_ = true;
    if (state_ == State::Idle)
      write();
    else  // being opened: both limits hold
      timer_.at(std::min(net::now() + pool_.limits_.connect_timeout, errand.until));
  }

  void withdraw() {  // the call is gone: what is not written yet will not be
    errand_.call = nullptr;
    if (state_ != State::Dialing && state_ != State::Greeting)
      return;
    finish(result_only(AttemptStatus::NotSent), true);
  }

  void close() {
    timer_.stop();
    if (stream_)
      stream_->close();
  }

  // Ends the errand with what is known, and the connection with it.
  void fail(AttemptStatus result, bool broken = false) {
    finish(result_only(result), false, 0, broken);
  }

  static UpstreamResponse result_only(AttemptStatus result) {
    UpstreamResponse answer;
    answer.status = result;
    return answer;
  }

  const EndpointId member;

  Nanos idle_since() const { return idle_since_; }

private:
  void connected() override {
    const std::string greeting = wire_->greeting();
    if (greeting.empty())
      return ready();
    state_ = State::Greeting;
    stream_->write({greeting});
  }

  void ready() {
    state_ = State::Idle;
    if (busy_)
      return write();
    rest();
  }

  void write() {
    // Every byte to a member is written here. Guards against a connection that came up late: by now
    // the member may be leaving, or a repeat or a proof be too old.
    const Nanos left = errand_.until - net::now();
    const bool holds = errand_.probe ? pool_.core_.is_health_check_allowed(member)
                                     : pool_.core_.is_attempt_allowed(errand_.attempt);
    if (left <= 0 || !holds)
      return finish(result_only(AttemptStatus::NotSent), true);
    state_ = State::Writing;
    begun_ = false;
    if (idle_since_ > 0)
      rested_ = net::now() - idle_since_;
    timer_.at(errand_.until);
    stream_->write(errand_.probe ? wire_->probe() : wire_->request(errand_.call->body(left)));
    if (stream_->all_written())
      flushed();
  }

  void flushed() override {
    if (state_ == State::Writing)
      state_ = State::Waiting;
  }

  void received() override {
    const std::string_view in = stream_->input().view();
    std::size_t used = 0;
    if (state_ == State::Greeting) {
      bool turned_away = false;
      const ParseStep step = wire_->parse_greeting(in, used, turned_away);
      if (step == ParseStep::More)
        return;
      if (step == ParseStep::Broken || turned_away)
        return fail(turned_away ? AttemptStatus::Rejected : AttemptStatus::ConnectFailed);
      stream_->input().consume(used);
      return ready();
    }
    if (state_ == State::Idle || state_ == State::Dialing)
      return pool_.drop(this);  // nothing was asked
    UpstreamResponse answer;
    const ParseStep step = wire_->answer(in, false, errand_.probe, answer, used);
    const bool roomy = net::total_buffered_bytes() <= pool_.limits_.buffered || in.size() <= kAnswerSmall;
    // Also of a whole one, so that it does not matter in how many reads it came.
    const bool fits = (step == ParseStep::Done ? used : in.size()) <= pool_.limits_.answer_bytes;
    if (step == ParseStep::More && fits && roomy) {
      // Guards against a length that does not fit: an answer that began and does not go on is none.
      begun_ = true;
      timer_.at(std::min(errand_.until, net::now() + kStall));
      return;
    }
    if (step != ParseStep::Done || !fits) {
      net::log({"malformed_response", {{"endpoint", std::to_string(member)}}});
      return fail(AttemptStatus::Error);  // the request was whole: it may have run
    }
    // An answer to what was not yet sent whole: heard, but the connection is of no further use.
    finish(answer, state_ == State::Waiting && stream_->input().size() == used, used);
  }

  void ended(const std::string&) override {
    if (!busy_)
      return pool_.drop(this);
    if (state_ != State::Waiting)
      return fail(AttemptStatus::ConnectFailed, true);
    UpstreamResponse answer;
    std::size_t used = 0;
    if (wire_->answer(stream_->input().view(), true, errand_.probe, answer, used) ==
        ParseStep::Done)
      return finish(answer, false);
    fail(AttemptStatus::Reset, true);
  }

  void due() {
    if (!busy_)
      return pool_.drop(this);  // idle for long enough
    if (state_ == State::Waiting && begun_ && net::now() < errand_.until)
      return fail(AttemptStatus::Error);
    if (state_ == State::Waiting)
      return fail(AttemptStatus::Timeout);
    // Not written whole, so it never ran; at the request's own end this tells nothing of the
    // member.
    const bool over = net::now() >= errand_.until && state_ != State::Writing && !errand_.probe;
    fail(over ? AttemptStatus::NotSent : AttemptStatus::ConnectFailed);
  }

  // The errand's one end. Guards the rule on second attempts: a connection that is not kept is
  // closed before the module hears of the end and may send again. A kept one is idle by then, so
  // that the next send finds it.
  void finish(const UpstreamResponse& answer, bool keep, std::size_t used = 0,
              bool broken = false) {
    const PendingUse errand = std::exchange(errand_, PendingUse{});
    if (const Nanos rested = std::exchange(rested_, 0))
      pool_.rests_.count(rested, broken && !begun_);
    busy_ = false;
    timer_.stop();
    const proxy::RequestBroker::EventBatch hold(pool_.core_);
    if (!keep && stream_)
      stream_->close();
    pool_.report(member, errand, answer);
    if (!keep)
      return pool_.drop(this);
    if (used)
      stream_->input().consume(used);
    if (state_ == State::Writing || state_ == State::Waiting)
      state_ = State::Idle;
    if (state_ == State::Idle)
      rest();
    else
      timer_.after(pool_.limits_.connect_timeout);  // still being opened, for whoever comes next
  }

  void rest() {
    // It was removed meanwhile, or is elsewhere: this connection leads to where it was.
    if (pool_.hosts_[member].address != address_)
      return pool_.drop(this);
    idle_since_ = net::now();
    // Guards against a request that crosses the member's own close, which ends as a reset: retired
    // well before the member would.
    const Nanos keepalive = pool_.limits_.keepalive;
    if (keepalive > 0)
      timer_.after(keepalive - std::min<Nanos>(keepalive / 4, 3'000'000'000));
    pool_.hosts_[member].idle.push_back(this);
  }

  ConnectionPool& pool_;
  std::unique_ptr<UpstreamProtocol> wire_;
  net::Timer timer_;
  const std::string address_;
  std::shared_ptr<net::Stream> stream_;
  State state_ = State::Dialing;
  PendingUse errand_;
  bool busy_ = false, begun_ = false;  // an errand is in hand; some of its answer has come
  Nanos idle_since_ = 0;               // when it was last laid by, if ever
  Nanos rested_ = 0;                   // how long before this errand
};

ConnectionPool::ConnectionPool(proxy::RequestBroker& core, WireFactory wire,
                               const PoolLimits& limits)
    : core_(core), wire_(wire), limits_(limits), reaper_([this] {
        dropped_.clear();
      }) {}

ConnectionPool::~ConnectionPool() {
  for (auto& [link, owned] : links_)
    owned->close();
}

void ConnectionPool::add_endpoint(EndpointId member, const std::string& address) {
  Host& host = hosts_[member];
  if (host.address == address)
    return;
  host.address = address;
  while (!host.idle.empty())
    drop(host.idle.back());  // they lead to where it was
}

void ConnectionPool::remove_endpoint(EndpointId member) {
  const auto host = hosts_.find(member);
  if (host == hosts_.end())
    return;
  host->second.address
      .clear();  // nothing new goes there; the last connection takes the entry with it
  const std::vector<Connection*> idle = host->second.idle;
  for (Connection* link : idle)
    drop(link);
  forget(member);
}

void ConnectionPool::forget(EndpointId member) {
  const auto host = hosts_.find(member);
  if (host != hosts_.end() && host->second.links == 0 && host->second.address.empty())
    hosts_.erase(host);
}

void ConnectionPool::start_attempt(AttemptId attempt, EndpointId member, proxy::ClientCall& call,
                                   Nanos until) {
  PendingUse errand;
  errand.attempt = attempt, errand.call = &call, errand.until = until;
  start(member, errand);
}

void ConnectionPool::start_health_check(EndpointId member) {
  PendingUse errand;
  errand.probe = true, errand.until = net::now() + limits_.connect_timeout;
  start(member, errand);
}

void ConnectionPool::start(EndpointId member, const PendingUse& errand) {
  Host& host = hosts_[member];
  Connection* link = take_idle(host);
  if (!link) {
    if (!make_room(member))
      return report(member, errand, Connection::result_only(AttemptStatus::NotSent));
    auto fresh = std::make_unique<Connection>(*this, member, host.address);
    if (!fresh->good()) {
      forget(member);
      return report(member, errand, Connection::result_only(AttemptStatus::ConnectFailed));
    }
    link = fresh.get();
    links_[link] = std::move(fresh);
    ++host.links;
  }
  if (errand.attempt)
    attempts_[errand.attempt] = link;
  link->assign(errand);
}

// The one used last, if nothing has come on it since: bytes or an end mean that the member gave it
// up. The rest go when it has rested for too long, as they have for longer.
ConnectionPool::Connection* ConnectionPool::take_idle(Host& host) {
  const Nanos limit = rests_.limit();
  while (!host.idle.empty()) {
    Connection* link = host.idle.back();
    if (link->quiet() && net::now() - link->idle_since() < limit) {
      host.idle.pop_back();
      return link;
    }
    drop(link);
  }
  return nullptr;
}

// Bounds descriptors: over the limit the connection idle longest, of any member, is closed for the
// new one.
bool ConnectionPool::make_room(EndpointId member) {
  if (hosts_[member].links >= limits_.per_member)
    return false;
  if (links_.size() < limits_.connections)
    return true;
  Connection* oldest = nullptr;
  for (auto& [id, host] : hosts_)
    if (!host.idle.empty() && (!oldest || host.idle.front()->idle_since() < oldest->idle_since()))
      oldest = host.idle.front();
  if (!oldest) {
    net::log({"connection_pool_exhausted", {{"connections", std::to_string(links_.size())}}});
    return false;
  }
  drop(oldest);
  return true;
}

void ConnectionPool::report(EndpointId member, const PendingUse& errand,
                            const UpstreamResponse& answer) {
  if (errand.probe)
    return core_.complete_health_check(member, answer);
  if (!errand.attempt)
    return;
  attempts_.erase(errand.attempt);
  core_.complete_attempt(errand.attempt, answer);
}

void ConnectionPool::cancel_attempt(AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end())
    found->second->fail(AttemptStatus::Cancelled);
}

void ConnectionPool::detach_call(AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end())
    found->second->withdraw();
}

void ConnectionPool::drop(Connection* link) {
  const auto found = links_.find(link);
  if (found == links_.end())
    return;
  link->close();
  Host& host = hosts_[link->member];
  host.idle.erase(std::remove(host.idle.begin(), host.idle.end(), link), host.idle.end());
  --host.links;
  forget(link->member);
  dropped_.push_back(std::move(found->second));
  links_.erase(found);
  reaper_.after(0);
}

}  // namespace gorsebeam::connection_pool
