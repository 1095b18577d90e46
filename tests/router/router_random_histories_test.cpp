/// Plays random histories and checks in each step that no action breaks a rule: nothing is sent to
/// an endpoint that is draining or removed, no request has two attempts in flight where hedging is
/// off, none is attempted after its final answer, and none is repeated where its class does not
/// allow it.
#include "router_harness.h"

#include <array>
#include <iterator>
#include <random>

namespace gorsebeam::router_test {
namespace {

constexpr std::array kAttemptStatuses{AttemptStatus::Ok,          AttemptStatus::Ok,
                                      AttemptStatus::Misdirected, AttemptStatus::Error,
                                      AttemptStatus::Rejected,    AttemptStatus::Reset,
                                      AttemptStatus::Timeout,     AttemptStatus::ConnectFailed,
                                      AttemptStatus::NotSent};

constexpr std::array kEndpointStatuses{EndpointStatus::Up, EndpointStatus::Draining,
                                       EndpointStatus::Removed};

/// Counts what the histories contained, so that the test can require that they covered enough.
struct Coverage {
  std::size_t attempts = 0;
  std::size_t retries = 0;
  std::size_t hedged_requests = 0;
  std::size_t health_checks = 0;
  std::size_t disconnected_clients = 0;
};

/// What the client and the endpoints know about a request.
struct OpenRequest {
  std::size_t class_index = 0;
  bool finished = false;  ///< It has its final answer, or its client disconnected.
  std::map<std::uint32_t, EndpointId> in_flight;  ///< By attempt number.
  std::optional<TimePoint> may_have_run_since;
};

bool can_have_taken_effect(AttemptStatus status) {
  return status == AttemptStatus::Error || status == AttemptStatus::Reset ||
         status == AttemptStatus::Timeout;
}

/// One history, generated from a seed. Odd seeds allow hedging.
class RandomHistory {
public:
  RandomHistory(std::uint64_t seed, Coverage& coverage)
      : random_(seed), hedging_(seed % 2 == 1), harness_(settings_with_hedging(hedging_)),
        coverage_(coverage) {}

  void run() {
    harness_.list_healthy_group();
    for (const EndpointId id : {1U, 2U, 3U, 4U})
      listed_[id] = EndpointStatus::Up;
    check_actions();
    for (int step = 0; step < 300; ++step) {
      harness_.now += std::chrono::milliseconds(random_below(hedging_ ? 90 : 30));
      harness_.deliver_keeping_actions(TimerExpired{});
      check_actions();
      deliver_random_event();
      check_actions();
    }
  }

private:
  static Settings settings_with_hedging(bool hedging) {
    Settings settings = default_settings();
    settings.hedging_allowed = hedging;
    return settings;
  }

  /// A number in [0, bound).
  std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }

  // ---- checks

  void check_actions() {
    for (const Action& action : harness_.actions) {
      if (const auto* health_check = std::get_if<SendHealthCheck>(&action))
        check_health_check(*health_check);
      else if (const auto* attempt = std::get_if<StartAttempt>(&action))
        check_attempt(*attempt);
      else if (const auto* rejection = std::get_if<RejectRequest>(&action))
        check_rejection(requests_[rejection->request_id]);
      else if (const auto* failure = std::get_if<FailRequest>(&action))
        check_failure(requests_[failure->request_id]);
    }
    harness_.actions.clear();
  }

  void check_health_check(const SendHealthCheck& health_check) {
    ++coverage_.health_checks;
    EXPECT_EQ(listed_[health_check.endpoint], EndpointStatus::Up);
  }

  void check_attempt(const StartAttempt& attempt) {
    OpenRequest& request = requests_[attempt.request_id];
    const std::uint32_t count = harness_.attempt_counts[attempt.request_id];
    const std::size_t in_flight = request.in_flight.size();
    ++coverage_.attempts;
    if (count > 1)
      ++coverage_.retries;
    if (in_flight > 0)
      ++coverage_.hedged_requests;
    EXPECT_EQ(listed_[attempt.endpoint], EndpointStatus::Up);
    EXPECT_FALSE(request.finished) << attempt.request_id;
    EXPECT_TRUE(in_flight == 0 || (hedging_ && in_flight == 1 && request.class_index < kPlainWrite))
        << attempt.request_id << " of class " << request.class_index << " has " << in_flight
        << " attempts in flight";
    EXPECT_LE(count, 4U);
    EXPECT_TRUE(is_repeat_allowed(request)) << attempt.request_id;
    request.in_flight[count - 1] = attempt.endpoint;
  }

  [[nodiscard]] bool is_repeat_allowed(const OpenRequest& request) const {
    if (!request.may_have_run_since || request.class_index < kPlainWrite)
      return true;
    return request.class_index == kKeyedWrite &&
           harness_.now - *request.may_have_run_since < 1500ms;
  }

  static void check_rejection(OpenRequest& request) {
    EXPECT_FALSE(request.finished ||
                 (request.may_have_run_since && request.class_index >= kPlainWrite));
    request.finished = true;
  }

  static void check_failure(OpenRequest& request) {
    EXPECT_FALSE(request.finished);
    request.finished = true;
  }

  // ---- events

  void deliver_random_event() {
    switch (random_below(8)) {
    case 0:
    case 1:
      send_random_request();
      break;
    case 2:
    case 3:
    case 4:
      end_random_attempt();
      break;
    case 5:
      disconnect_random_client();
      break;
    case 6:
      deliver_random_list();
      break;
    default:
      report_random_health();
    }
  }

  void send_random_request() {
    const std::size_t class_index = random_below(6);
    // The request is recorded here before the router emits actions for it.
    requests_["r" + std::to_string(harness_.next_request_number)].class_index = class_index;
    harness_.send_request(class_index, random_below(3));
  }

  void end_random_attempt() {
    for (auto& [id, request] : requests_) {
      if (request.in_flight.empty() || random_below(2) != 0)
        continue;
      end_first_attempt(id, request);
      return;
    }
  }

  void end_first_attempt(const std::string& id, OpenRequest& request) {
    const auto [attempt, endpoint] = *request.in_flight.begin();
    request.in_flight.erase(request.in_flight.begin());
    const AttemptStatus status = kAttemptStatuses.at(random_below(kAttemptStatuses.size()));
    if (can_have_taken_effect(status) && !request.may_have_run_since)
      request.may_have_run_since = harness_.now - 10ms;
    request.finished |= status == AttemptStatus::Ok;
    harness_.end_attempt(id, endpoint, status,
                         request.finished ? RequestState::Finished : RequestState::Open, 10ms,
                         attempt);
  }

  void disconnect_random_client() {
    if (requests_.empty())
      return;
    const auto client =
        std::next(requests_.begin(), static_cast<long>(random_below(requests_.size())));
    if (client->second.finished)
      return;
    client->second.finished = true;
    ++coverage_.disconnected_clients;
    harness_.deliver(ClientDisconnected{client->first});
  }

  void deliver_random_list() {
    Endpoint changed = make_endpoint(random_endpoint());
    changed.status = kEndpointStatuses.at(random_below(kEndpointStatuses.size()));
    if (changed.status == EndpointStatus::Up && random_below(2) != 0)
      changed.started_at = harness_.now - 5ms;
    const bool is_delta = random_below(2) != 0 || changed.status == EndpointStatus::Removed;
    listed_[changed.id] = changed.status;
    if (is_delta)
      harness_.deliver_list({changed}, EndpointList::Kind::Delta);
    else
      deliver_full_list(changed);
  }

  /// Each endpoint besides `changed` that is not removed comes back as up or is left out.
  void deliver_full_list(const Endpoint& changed) {
    std::vector<Endpoint> endpoints{changed};
    for (auto& [id, status] : listed_) {
      if (id == changed.id || status == EndpointStatus::Removed)
        continue;
      status = random_below(4) != 0 ? EndpointStatus::Up : EndpointStatus::Removed;
      if (status == EndpointStatus::Up)
        endpoints.push_back(make_endpoint(id));
    }
    harness_.deliver_list(std::move(endpoints));
  }

  void report_random_health() {
    const EndpointId id = random_endpoint();
    const Duration lag = std::chrono::milliseconds(random_below(1500));
    harness_.report_health(id, id == 1 ? Role::Primary : Role::Replica, lag);
  }

  EndpointId random_endpoint() { return static_cast<EndpointId>(1 + random_below(4)); }

  std::mt19937_64 random_;
  bool hedging_;
  RouterHarness harness_;
  Coverage& coverage_;
  std::map<std::string, OpenRequest> requests_;
  std::map<EndpointId, EndpointStatus> listed_;
};

TEST(RouterRandomHistories, NoAttemptOrHealthCheckBreaksARule) {
  Coverage coverage;

  for (std::uint64_t seed = 0; seed < 100; ++seed)
    RandomHistory(seed, coverage).run();

  EXPECT_GT(coverage.attempts, 3'000U);
  EXPECT_GT(coverage.retries, 300U);
  EXPECT_GT(coverage.hedged_requests, 30U);
  EXPECT_GT(coverage.health_checks, 300U);
  EXPECT_GT(coverage.disconnected_clients, 300U);
}

}  // namespace
}  // namespace gorsebeam::router_test
