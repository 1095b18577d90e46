/// Checks against the rules what clients, endpoints and agents observed of the gateways, and when.
///
/// Pure: it is notified of events with their time, in milliseconds of one monotonic clock. It does
/// not know the causes of events; the gateways' logs show these.
#pragma once

#include "service_classes.h"
#include "soak_clock.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fault_soak {

/// How late the fake peers may record an event.
constexpr Millis kRecordSlack = 60;
/// After it an endpoint that drains or was removed must get nothing.
constexpr Millis kDrainGrace = 250 + 50;
/// After it a request whose client has disconnected must not be attempted.
constexpr Millis kDisconnectGrace = 100;
/// How much a forwarded timeout may exceed the time until the client's deadline.
constexpr Millis kDeadlineSlack = 150;
/// How long after its deadline a request may get its response.
constexpr Millis kResponseSlack = 500;
/// After SIGTERM a gateway owes no response to requests that arrive later than this.
constexpr Millis kTerminationGrace = 700;
/// A gateway may have closed the connection before it saw a request that was sent less than this
/// time before.
constexpr Millis kCloseRaceTime = 100;

/// Whether an attempt may have had an effect, once it has ended.
enum class Effect { None, MayHaveRun };

/// Whether a gateway closed a connection at the same time as the client sent a request on it.
enum class ConnectionClose { RacedRequest, Other };

struct Violation {
  std::string rule;
  std::string detail;
  Millis at = 0;
};

class Oracle {
public:
  explicit Oracle(Millis deduplication_window) : deduplication_window_(deduplication_window) {}

  /// A new process of the gateway starts, which knows and owes nothing of the previous one.
  void gateway_started(int gateway, Millis at);
  void gateway_exited(int gateway);
  void gateway_terminated(int gateway, Millis at);
  /// The process is stopped from now on.
  void gateway_paused(int gateway, Millis at);
  void gateway_resumed(int gateway, Millis at);

  /// The gateway's agent has written a list in which the endpoint is up.
  void endpoint_listed_as_up(int gateway, int endpoint);
  /// The gateway's agent has written a list in which the endpoint drains or is missing.
  void endpoint_listed_as_draining(int gateway, int endpoint, Millis at);

  void request_sent(int gateway, const std::string& id, ServiceClass service_class, Millis deadline,
                    Millis at);
  void response_received(const std::string& id, Millis at);
  void client_disconnected(const std::string& id, Millis at);
  /// The gateway closed the connection of a request in flight. A client sends the request again if
  /// the close crossed it.
  [[nodiscard]] ConnectionClose connection_ended(const std::string& id, Millis at);

  /// An endpoint received an attempt with `timeout` left.
  void attempt_arrived(int endpoint, const std::string& id, Millis timeout, Millis at);
  void attempt_ended(int endpoint, const std::string& id, Effect effect);
  void health_check_arrived(int gateway, int endpoint, Millis at);

  /// Records overdue requests as lost.
  void check_overdue(Millis at);

  [[nodiscard]] const std::vector<Violation>& violations() const { return violations_; }

  [[nodiscard]] std::size_t request_count() const { return requests_.size(); }

  [[nodiscard]] std::size_t attempt_count() const { return attempt_count_; }

private:
  struct Gateway {
    Millis started_at = 0;
    Millis terminated_at = 0;  ///< 0: not terminated.
    std::vector<std::pair<Millis, Millis>> pauses;
    std::map<int, Millis> draining_since;  ///< By endpoint; drains or is missing.
  };

  struct Request {
    int gateway = 0;
    ServiceClass service_class = ServiceClass::Idempotent;
    Millis sent_at = 0;
    Millis deadline = 0;
    Millis disconnected_at = 0;  ///< 0: the client is connected.
    /// Has a response, is excused, or its gateway was killed.
    bool is_finished = false;
    int response_count = 0;
    std::set<int> in_flight;  ///< Endpoints.
    Millis may_have_run_since = 0;
    Millis last_attempt_at = 0;
  };

  void report(const std::string& rule, const std::string& detail, Millis at);
  void check_draining_endpoint(int gateway, int endpoint, const std::string& traffic, Millis at);
  void check_retry(const Request& request, const std::string& id, Millis at);
  void check_forwarded_timeout(const Request& request, const std::string& id, Millis timeout,
                               Millis at);
  /// The part of the time between `from` and `to` in which the process was stopped.
  [[nodiscard]] static Millis paused_between(const Gateway& gateway, Millis from, Millis to);
  /// Whether the gateway had closed its listener before the request was sent.
  [[nodiscard]] static bool was_sent_after_termination(const Gateway& gateway,
                                                       const Request& request);

  Millis deduplication_window_;
  std::map<int, Gateway> gateways_;
  std::map<std::string, Request> requests_;
  std::vector<Violation> violations_;
  std::size_t attempt_count_ = 0;
};

}  // namespace fault_soak
