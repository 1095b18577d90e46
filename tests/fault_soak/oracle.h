/// Checks the gateways against the rules, from what clients, endpoints and discovery agents
/// observed.
///
/// The oracle does no input or output and reads no clock: it is notified of each event and of its
/// time on the soak's clock. It does not know the causes of events; the gateways' logs show these.
#pragma once

#include "overload_rule.h"
#include "service_classes.h"
#include "soak_clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fault_soak {

/// The longest delay with which the fake clients, endpoints and agents record an event.
constexpr Millis kRecordSlack = 60;
/// The time after the list that shows an endpoint as draining or removed, within which the endpoint
/// may still get traffic: the 250 ms of the gateway's settings, and 50 ms of slack.
constexpr Millis kDrainGrace = 250 + 50;
/// The time after a client disconnected, within which its request may still be attempted.
constexpr Millis kDisconnectGrace = 100;
/// How far a forwarded timeout may exceed the time left until the client's deadline.
constexpr Millis kDeadlineSlack = 150;
/// How far the age of the data that a bounded read sees may exceed the class's limit.
constexpr Millis kStalenessSlack = 50;
/// The time after a request's deadline, within which its response must arrive.
constexpr Millis kResponseSlack = 500;
/// If the gateway closes a connection within this time after a request was sent on it, it may not
/// have received the request.
constexpr Millis kCloseRaceTime = 100;

/// The longest iteration of the soak's event loop that is no delay. Events that are recorded in
/// another order than they happened in, or closer together, are explained by a delay alone.
constexpr Millis kMaxIteration = 80;

/// Whether an attempt that has ended may have taken effect at the endpoint.
enum class Effect { None, MayHaveRun };

/// Whether a gateway's close of a connection raced with a request, so that the gateway may not have
/// received the request.
enum class ConnectionClose { RacedRequest, Other };

/// A rule that a gateway violated, and when.
struct Violation {
  std::string rule;
  std::string detail;
  Millis at = 0;
  /// From when on a delay of the soak itself affects what was observed.
  Millis since = 0;
  /// The delay of the soak itself that would explain the violation; empty if none does.
  std::optional<Millis> explained_by = std::nullopt;
};

class Oracle {
public:
  /// `deduplication_window`: the time within which a keyed request may be retried.
  explicit Oracle(Millis deduplication_window) : deduplication_window_(deduplication_window) {}

  /// A new process of the gateway starts. What the oracle knows of the previous process no longer
  /// applies.
  void gateway_started(int gateway, Millis at);
  /// The process is about to get SIGKILL. Its open requests need no response, unless it got SIGTERM
  /// before.
  void gateway_killed(int gateway, Millis at);
  /// The process gets SIGTERM.
  void gateway_terminated(int gateway, Millis at);
  /// The process is suspended until `gateway_resumed`.
  void gateway_paused(int gateway, Millis at);
  void gateway_resumed(int gateway, Millis at);

  /// The gateway's discovery agent has sent a list in which the endpoint is up.
  void endpoint_listed_as_up(int gateway, int endpoint);
  /// The gateway's discovery agent has sent a list in which the endpoint is draining or missing.
  void endpoint_listed_as_draining(int gateway, int endpoint, Millis at);

  /// The endpoint's process has started, and is cold. `start` identifies the start.
  void endpoint_started(int endpoint, std::int64_t start, Millis at);
  /// The gateway's discovery agent has sent a list that contains the start of the endpoint.
  void endpoint_start_listed(int gateway, int endpoint, std::int64_t start);

  void request_sent(int gateway, const std::string& id, ServiceClass service_class, Millis deadline,
                    Millis at);
  void response_received(const std::string& id, Millis at);
  /// The client was told that its write is committed. Later reads of the gateway's clients, which
  /// form one session, must see it.
  void write_acknowledged(const std::string& id);
  void client_disconnected(const std::string& id, Millis at);
  /// The gateway closed the connection of a request in flight. If the close raced with the request,
  /// the client may send the request again.
  [[nodiscard]] ConnectionClose connection_ended(const std::string& id, Millis at);

  /// An endpoint received an attempt, with the timeout that the gateway forwarded.
  void attempt_arrived(int endpoint, const std::string& id, Millis timeout, Millis at);
  /// An endpoint served an attempt; if it was that of a write, the write is committed.
  void attempt_served(const std::string& id, Millis at);
  /// The attempt of a read arrived at an endpoint whose data is `staleness` old.
  void read_arrived(int endpoint, const std::string& id, Millis staleness, Millis at);
  void attempt_ended(int endpoint, const std::string& id, Effect effect);
  void health_check_arrived(int gateway, int endpoint, Millis at);

  /// Records a violation for each request whose response is overdue at `at`.
  void check_overdue(Millis at);

  [[nodiscard]] const std::vector<Violation>& violations() const { return violations_; }

  /// The highest share of its budget that any endpoint in slow start got.
  [[nodiscard]] double highest_slow_start_utilization() const {
    return overload_rule_.highest_utilization();
  }

  [[nodiscard]] std::size_t request_count() const { return requests_.size(); }

  [[nodiscard]] std::size_t attempt_count() const { return attempt_count_; }

private:
  struct Gateway {
    Millis started_at = 0;
    Millis terminated_at = 0;                       ///< 0: not terminated.
    std::vector<std::pair<Millis, Millis>> pauses;  ///< Begin and end.
    /// For each endpoint that is listed as draining or is missing: the time of the first such list.
    std::map<int, Millis> draining_since;
    std::map<int, std::int64_t> listed_starts;  ///< The newest listed start of each endpoint.
    Millis acknowledged_commit_at = 0;          ///< Of the newest acknowledged write; 0: none.
  };

  struct Request {
    int gateway = 0;
    ServiceClass service_class = ServiceClass::Idempotent;
    Millis sent_at = 0;
    Millis deadline = 0;
    Millis disconnected_at = 0;  ///< 0: the client has not disconnected.
    /// No response is expected any more: one arrived, the connection ended, the gateway exited, or
    /// the missing response was recorded.
    bool is_finished = false;
    int response_count = 0;
    std::set<int> in_flight;        ///< The endpoints that an attempt is in flight at.
    Millis may_have_run_since = 0;  ///< The first attempt that may have taken effect; 0: none.
    Millis last_attempt_at = 0;     ///< 0: no attempt.
    Millis committed_at = 0;        ///< Writes only; 0: not committed.
    Millis must_see_commit_at = 0;  ///< Session reads only; 0: no commit.
  };

  /// What a delay of the soak itself has to be to explain a violation, and from when on.
  struct Explanation {
    Millis since = 0;
    Millis delay = 0;
  };

  void report(const std::string& rule, const std::string& detail, Millis at,
              std::optional<Explanation> explanation = std::nullopt);
  /// Checks that the endpoint was not drained or removed too long ago to get traffic.
  void check_draining_endpoint(int gateway, int endpoint, const std::string& traffic, Millis at);
  void check_bounded_read(const Request& request, const std::string& read, Millis staleness,
                          Millis at);
  void check_session_read(const Request& request, const std::string& read, Millis staleness,
                          Millis at);
  void check_overload(int gateway, int endpoint, Millis at);
  void check_retry(const Request& request, const std::string& id, Millis at);
  void check_disconnected_client(const Request& request, const std::string& id, Millis at);
  void check_forwarded_timeout(const Request& request, const std::string& id, Millis timeout,
                               Millis at);
  /// How long the process was paused between `from` and `to`.
  [[nodiscard]] static Millis paused_between(const Gateway& gateway, Millis from, Millis to);
  Millis deduplication_window_;
  std::map<int, Gateway> gateways_;
  std::map<int, std::int64_t> starts_;  ///< The last start of each endpoint that has restarted.
  OverloadRule overload_rule_;
  std::map<std::string, Request> requests_;
  std::vector<Violation> violations_;
  std::size_t attempt_count_ = 0;
};

}  // namespace fault_soak
