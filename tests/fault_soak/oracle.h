/// Checks what clients, endpoints and agents saw of the gateways against the rules, by times.
///
/// Pure: it is notified what happened and when, in milliseconds of one monotonic clock. It knows
/// nothing of why something happened; the gateways' logs serve for that.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fault_soak {

using Millis = std::int64_t;

/// How far the stand-ins' own records may be late.
constexpr Millis kRecordSlack = 60;
constexpr Millis kDrainGrace = 250 + 50;
constexpr Millis kDisconnectGrace = 100;
constexpr Millis kDeadlineSlack = 150;
constexpr Millis kAnswerSlack = 500;
/// After SIGTERM a gateway owes no answer to what arrives later than this.
constexpr Millis kTerminationGrace = 700;
/// A close within this time of a request may have crossed it.
constexpr Millis kCrossingTime = 100;

enum class ServiceClass { Idempotent, Keyed, SingleShot };

/// Whether an attempt may have had an effect, once its end is known.
enum class Effect { None, MayHaveRun };

struct Violation {
  std::string rule;
  std::string detail;
  Millis at = 0;
};

class Oracle {
public:
  explicit Oracle(Millis deduplication_window) : deduplication_window_(deduplication_window) {}

  /// A new process of the gateway; nothing of the one before is owed or known.
  void gateway_started(int gateway, Millis at);
  void gateway_killed(int gateway);
  void gateway_terminated(int gateway, Millis at);
  /// The process does not run from now on.
  void gateway_paused(int gateway, Millis at);
  void gateway_resumed(int gateway, Millis at);

  /// The gateway is notified of the endpoint's state, as its agent has written it.
  void endpoint_notified(int gateway, int endpoint, bool is_draining, Millis at);

  void request_sent(int gateway, const std::string& id, ServiceClass service_class, Millis deadline,
                    Millis at);
  void response_received(const std::string& id, Millis at);
  void client_disconnected(const std::string& id, Millis at);
  /// The gateway ended the connection under the request. Returns whether that may be forgiven as a
  /// close that crossed the request; the client sends it again then.
  [[nodiscard]] bool connection_ended(const std::string& id, Millis at);

  void attempt_arrived(int endpoint, const std::string& id, Millis time_left, Millis at);
  void attempt_ended(int endpoint, const std::string& id, Effect effect);
  void health_check_arrived(int gateway, int endpoint, Millis at);

  /// Requests that are overdue by now count as lost.
  void check_overdue(Millis at);

  [[nodiscard]] const std::vector<Violation>& violations() const { return violations_; }

  [[nodiscard]] std::size_t request_count() const { return requests_.size(); }

  [[nodiscard]] std::size_t attempt_count() const { return attempt_count_; }

private:
  struct Gateway {
    Millis started_at = 0;
    Millis terminated_at = 0;  ///< 0: not.
    std::vector<std::pair<Millis, Millis>> pauses;
    std::map<int, Millis> draining_since;  ///< By endpoint.
  };

  struct Request {
    int gateway = 0;
    ServiceClass service_class = ServiceClass::Idempotent;
    Millis sent_at = 0;
    Millis deadline = 0;
    Millis disconnected_at = 0;  ///< 0: the client stays.
    bool is_closed = false;      ///< Answered, forgiven, or its gateway was killed.
    int response_count = 0;
    std::set<int> in_flight;  ///< Endpoints.
    Millis may_have_run_since = 0;
    Millis last_attempt_at = 0;
  };

  void report(const std::string& rule, const std::string& detail, Millis at);
  void check_endpoint(const Gateway& gateway, int gateway_index, int endpoint,
                      const std::string& what, Millis at);
  void check_retry(const Request& request, const std::string& id, Millis at);
  [[nodiscard]] static Millis paused_between(const Gateway& gateway, Millis from, Millis to);

  const Millis deduplication_window_;
  std::map<int, Gateway> gateways_;
  std::map<std::string, Request> requests_;
  std::vector<Violation> violations_;
  std::size_t attempt_count_ = 0;
};

}  // namespace fault_soak
