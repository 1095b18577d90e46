/// Plays random histories of endpoint lists, requests, results and exceptions against the request
/// broker and the router, in virtual time. Endpoints are added, drained, removed and replaced,
/// restart, move to another group, and have names that end in the same digits. Checked after each
/// step: each request gets one final answer in its time, nothing is written to an endpoint that is
/// not listed as up in the request's group, no two attempts of a request are in flight, and no id
/// is given to another endpoint within a minute of the removal of its last one. Histories with an
/// odd seed inject no exceptions, and must log none; in those whose seed is a multiple of four,
/// exceptions also come in series, and attempts are lost during these.
///
/// Usage: list_histories [SEEDS [FIRST]]. Prints each violation with its seed; the exit status is 0
/// if there is none. Standard error, where the log goes, is read by the program itself.
#include "virtual_time.h"

#include "proxy/request_broker.h"
#include "router_settings.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <unistd.h>

namespace {

using namespace gorsebeam;

constexpr int kSteps = 60;
constexpr GroupId kGroups = 3;
constexpr Duration kDeadline = 1000ms;
// How long after its deadline a request may get its answer, also if an exception cost it a timer.
constexpr Duration kAnswerSlack = 250ms;
// A series of exceptions lasts for several deadlines, with shorter intervals than the broker's
// recovery.
constexpr Duration kSeriesDuration = 3 * kDeadline;
constexpr Duration kSeriesInterval = 50ms;
// An id stays its endpoint's own for this time after the removal.
constexpr Duration kIdKeptFor = 60s;
constexpr std::array kNames{
    "pg-porto-20261201", "pg-nord-20261201", "pg-monreale-20261201", "pg-porto-20261202",
    "s-00000001",        "s-00000002",       "s-00000003",           "db1"};

int violations = 0;

void report(std::uint64_t seed, const std::string& text) {
  ++violations;
  std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), text.c_str());
}

bool injects_exceptions(std::uint64_t seed) {
  return seed % 2 == 0;
}

bool injects_series(std::uint64_t seed) {
  return seed % 4 == 0;
}

/// The log of this process, which goes to a temporary file.
class LogFile {
public:
  LogFile() : reader_(std::tmpfile()) {
    if (reader_ == nullptr || dup2(fileno(reader_), STDERR_FILENO) < 0)
      throw std::runtime_error("cannot redirect standard error to a temporary file");
  }

  LogFile(const LogFile&) = delete;
  LogFile& operator=(const LogFile&) = delete;

  ~LogFile() { std::fclose(reader_); }

  /// Whether `text` was logged since the last call, which empties the log.
  [[nodiscard]] bool contains(const std::string& text) {
    const off_t size = lseek(fileno(reader_), 0, SEEK_END);
    std::string log(static_cast<std::size_t>(size), '\0');
    const bool is_read = pread(fileno(reader_), log.data(), log.size(), 0) == size;
    if (!is_read || ftruncate(fileno(reader_), 0) != 0 || lseek(fileno(reader_), 0, SEEK_SET) != 0)
      throw std::runtime_error("cannot read the log");
    return log.find(text) != std::string::npos;
  }

private:
  std::FILE* reader_;
};

struct HistoryCall : proxy::ClientCall {
  [[nodiscard]] bool may_have_disconnected() const override { return false; }

  proxy::ByteSpans body(Duration) override { return {"SELECT"}; }

  void respond(const proxy::ByteSpans&) override { ++answers; }

  void reject(Duration) override { ++answers; }

  void fail() override { ++answers; }

  std::string id;
  GroupId group = 0;
  int answers = 0;
  int in_flight = 0;
};

/// A source of the endpoint list whose reading throws during a series of exceptions.
struct FaultyListSource : proxy::EndpointListSource {
  void read_pending() override {
    if (is_in_series())
      throw std::runtime_error("a list that cannot be read");
  }

  [[nodiscard]] bool is_in_series() const { return net::now() < series_ends_at; }

  TimePoint series_ends_at{};
};

/// One endpoint as the last list has it.
struct Member {
  bool is_listed = false;
  proxy::ListedEndpoint listed;
};

class ListHistory : public proxy::Upstream {
public:
  explicit ListHistory(std::uint64_t seed)
      : seed_(seed), random_(seed),
        broker_(std::make_unique<proxy::RequestBroker>(make_settings(), seed)) {
    broker_->attach(*this);
    broker_->set_list_source(&list_source_);
    for (std::size_t i = 0; i < kNames.size(); ++i) {
      Member& member = members_[address_of(i)];
      member.listed.name = kNames.at(i);
      member.listed.address = address_of(i);
      member.listed.endpoint.group = static_cast<GroupId>(i % kGroups);
      member.listed.endpoint.listed_as_primary = i < kGroups;
      member.is_listed = draw(4) > 0;
    }
    publish_all();
  }

  void play() {
    for (int step = 0; step < kSteps; ++step) {
      perform_step();
      const bool waits_for_forgetting = draw(12) == 0;
      const Duration pause =
          waits_for_forgetting ? kIdKeptFor + 1s : std::chrono::milliseconds(draw(120));
      virtual_time::run_until(net::now() + pause);
    }
    virtual_time::run_until(net::now() + kDeadline + 2 * kAnswerSlack);
    if (broker_->open_requests() != 0)
      report(seed_, std::to_string(broker_->open_requests()) + " requests are open at the end");
  }

private:
  static Settings make_settings() {
    Settings settings = test_support::make_settings(LoadReportSource::Responses);
    const auto add = [&settings](ConsistencyLevel level, Idempotency idempotency) {
      RequestClass made = test_support::make_request_class("class", level, idempotency);
      made.latency_objective = 300ms;
      made.deadline = kDeadline;
      made.max_staleness = 200ms;
      made.deduplication_window = 2s;
      settings.classes.push_back(made);
    };
    add(ConsistencyLevel::Eventual, Idempotency::Idempotent);
    add(ConsistencyLevel::BoundedStaleness, Idempotency::Idempotent);
    add(ConsistencyLevel::Strong, Idempotency::Idempotent);
    add(ConsistencyLevel::Write, Idempotency::IdempotencyKey);
    settings.listed_role = ListedRole::AtStart;
    settings.slow_start_duration = 10s;
    settings.overload_duration = 1s;
    return settings;
  }

  static std::string address_of(std::size_t number) {
    return "127.0.0." + std::to_string(number + 1) + ":1";
  }

  std::uint64_t draw(std::uint64_t bound) { return random_() % bound; }

  void perform_step() {
    if (injects_series(seed_) && !list_source_.is_in_series() && draw(8) == 0)
      begin_series();
    if (draw(3) == 0)
      return change_list();
    for (std::uint64_t count = 1 + draw(3); count > 0; --count)
      send_request();
  }

  void begin_series() {
    list_source_.series_ends_at = net::now() + kSeriesDuration;
    for (Duration delay{}; delay < kSeriesDuration; delay += kSeriesInterval)
      virtual_time::schedule(net::now() + delay, [this] {
        const proxy::RequestBroker::EventBatch batch(*broker_);
      });
  }

  void change_list() {
    Member& member = members_[address_of(draw(kNames.size()))];
    Endpoint& endpoint = member.listed.endpoint;
    switch (draw(5)) {
    case 0:
      endpoint.group = static_cast<GroupId>(draw(kGroups));
      break;
    case 1:
      endpoint.status = EndpointStatus::Draining;
      break;
    case 2:
      endpoint.started_at = net::now();
      endpoint.status = EndpointStatus::Up;
      break;
    case 3:
      member.is_listed = !member.is_listed;
      break;
    default:
      endpoint.status = EndpointStatus::Up;
    }
    if (draw(2) == 0 || !member.is_listed)
      publish_all();
    else
      publish(EndpointList::Kind::Delta, {member.listed});
  }

  void publish_all() {
    std::vector<proxy::ListedEndpoint> all;
    for (const auto& [address, member] : members_)
      if (member.is_listed)
        all.push_back(member.listed);
    publish(EndpointList::Kind::Full, all);
  }

  void publish(EndpointList::Kind kind, const std::vector<proxy::ListedEndpoint>& endpoints) {
    broker_->update_endpoints(kind, endpoints);
  }

  void send_request() {
    auto call = std::make_shared<HistoryCall>();
    call->id = "r" + std::to_string(++last_request_);
    call->group = static_cast<GroupId>(draw(kGroups));
    Request request;
    request.id = call->id;
    request.class_index = draw(4);
    request.group = call->group;
    request.deadline = net::now() + kDeadline;
    calls_.push_back(call);
    if (broker_->begin_request(std::move(request), *call) != proxy::BeginResult::Begun)
      report(seed_, call->id + " was not accepted");
    virtual_time::schedule(net::now() + kDeadline + kAnswerSlack, [this, call] {
      if (call->answers != 1)
        report(seed_, call->id + " has " + std::to_string(call->answers) + " answers");
    });
  }

  void add_endpoint(EndpointId id, const std::string& address) override {
    const auto last = addresses_.find(id);
    if (last != addresses_.end() && last->second != address) {
      const auto removed = removed_at_.find(id);
      if (removed == removed_at_.end() || net::now() - removed->second < kIdKeptFor)
        report(seed_,
               "the id " + std::to_string(id) + " of " + last->second + " was given to " + address);
    }
    addresses_[id] = address;
    removed_at_.erase(id);
  }

  void remove_endpoint(EndpointId id) override { removed_at_.emplace(id, net::now()); }

  void start_attempt(proxy::AttemptId attempt, EndpointId endpoint, proxy::ClientCall& call,
                     TimePoint deadline) override {
    if (injects_exceptions(seed_) && draw(40) == 0)
      throw std::runtime_error("an attempt that cannot be started");
    if (list_source_.is_in_series() && draw(4) == 0)
      return;  // an exception has cost the attempt its end
    auto& history_call = static_cast<HistoryCall&>(call);
    const TimePoint connected_at = net::now() + std::chrono::milliseconds(draw(30));
    virtual_time::schedule(connected_at, [this, attempt, endpoint, &history_call, deadline] {
      write_attempt(attempt, endpoint, history_call, deadline);
    });
  }

  void write_attempt(proxy::AttemptId attempt, EndpointId endpoint, HistoryCall& call,
                     TimePoint deadline) {
    if (!broker_->authorize_attempt(attempt)) {
      end_attempt(attempt, AttemptStatus::NotSent, endpoint);
      return;
    }
    const Member& member = members_[addresses_[endpoint]];
    const Endpoint& listed = member.listed.endpoint;
    if (!member.is_listed || listed.status != EndpointStatus::Up || listed.group != call.group)
      report(seed_, call.id + " was written to " + member.listed.name +
                        ", which is not listed as up in its group");
    if (++call.in_flight > 1)
      report(seed_, call.id + " has two attempts in flight");
    constexpr std::array kStatuses{
        AttemptStatus::Ok,    AttemptStatus::Ok,       AttemptStatus::Ok,     AttemptStatus::Error,
        AttemptStatus::Reset, AttemptStatus::Rejected, AttemptStatus::Timeout};
    const AttemptStatus status = kStatuses.at(draw(kStatuses.size()));
    const TimePoint responds_at = net::now() + std::chrono::milliseconds(5 + draw(60));
    const TimePoint ends_at =
        status == AttemptStatus::Timeout ? deadline : std::min(deadline, responds_at);
    virtual_time::schedule(ends_at, [this, attempt, status, endpoint, &call] {
      --call.in_flight;
      end_attempt(attempt, status, endpoint);
    });
  }

  void end_attempt(proxy::AttemptId attempt, AttemptStatus status, EndpointId endpoint) {
    proxy::UpstreamResponse response = make_response(endpoint);
    response.status = status;
    broker_->complete_attempt(attempt, response);
  }

  proxy::UpstreamResponse make_response(EndpointId endpoint) {
    const Member& member = members_[addresses_[endpoint]];
    proxy::UpstreamResponse response;
    response.status = AttemptStatus::Ok;
    response.role = member.listed.endpoint.listed_as_primary ? Role::Primary : Role::Replica;
    response.replication_position = position_at(net::now() - 5ms);
    response.load_report = {response.replication_position, response.role == Role::Primary};
    return response;
  }

  void start_health_check(EndpointId endpoint) override {
    virtual_time::schedule(net::now() + 5ms, [this, endpoint] {
      broker_->complete_health_check(endpoint, make_response(endpoint));
    });
  }

  void read_pending() override {}

  void cancel_attempt(proxy::AttemptId) override {}

  void detach_call(proxy::AttemptId) override {}

  const std::uint64_t seed_;
  std::mt19937_64 random_;
  std::map<std::string, Member> members_;  ///< By address.
  std::map<EndpointId, std::string> addresses_;
  std::map<EndpointId, TimePoint> removed_at_;
  std::vector<std::shared_ptr<HistoryCall>> calls_;
  std::uint64_t last_request_ = 0;
  FaultyListSource list_source_;
  std::unique_ptr<proxy::RequestBroker> broker_;
};

/// Plays `seeds` histories from the seed `first` on.
void play_histories(std::uint64_t seeds, std::uint64_t first) {
  LogFile log;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    try {
      ListHistory(seed).play();
    } catch (const std::exception& error) {
      report(seed, std::string("exception ") + error.what());
    }
    virtual_time::discard_scheduled();
    if (log.contains("internal_error") && !injects_exceptions(seed))
      report(seed, "an exception was contained");
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 200;
  const std::uint64_t first = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  try {
    play_histories(seeds, first);
  } catch (const std::exception& error) {
    std::printf("%s\n", error.what());
    return 1;
  }
  std::printf("%llu histories, %d violations\n", static_cast<unsigned long long>(seeds),
              violations);
  return violations == 0 ? 0 : 1;
}
