/// The gateway's side of the lease service: it requests leases and records those that it holds.
///
/// The client is a deterministic state machine, like the LeaseManager. It counts the duration of a
/// lease from the time before it sent the request, and subtracts the clock drift, so that the lease
/// ends here before the manager regards it as expired (Gray & Cheriton, "Leases", section 2).
#pragma once

#include "leases/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace gorsebeam::leases {

/// The gateway may act in the role, under the token.
struct LeaseAcquired {
  std::string role;
  FencingToken token = 0;
};

enum class LossReason {
  Expired,   ///< The lease has expired by this gateway's clock.
  Released,  ///< A response does not name the role with this token, or this gateway has resigned.
};

/// The gateway must not act under the token any more.
struct LeaseLost {
  std::string role;
  FencingToken token = 0;
  LossReason reason = LossReason::Released;
};

using ClientAction = std::variant<LeaseRequest, LeaseAcquired, LeaseLost>;
using ClientActions = std::vector<ClientAction>;

class LeaseClient {
public:
  /// `holder` is NAME~INCARNATION.
  LeaseClient(Settings settings, std::string holder, std::string zone);

  /// Call it once. The first request follows after a random delay of up to a quarter of a lease, so
  /// that gateways that start together do not send at the same time.
  void start(TimePoint now);

  /// Call it at `next_deadline`, or at any other time.
  void tick(TimePoint now, ClientActions& actions);

  /// Replaces the held leases by those of the response. Ignores a response to another holder, one
  /// whose request is no longer tracked or not newer than the last answered request, and every
  /// response after `resign`.
  void handle_response(TimePoint now, const LeaseResponse& response, ClientActions& actions);

  /// Gives up all roles at once and acquires none afterwards.
  void resign(ClientActions& actions);

  /// The next time at which `tick` has an effect, or `kNever`.
  [[nodiscard]] TimePoint next_deadline() const { return deadline_; }

  /// Returns the token under which the gateway may act in the role, or nothing if it does not hold
  /// the role or its lease has expired. Call it before every action.
  [[nodiscard]] std::optional<FencingToken> valid_token(TimePoint now,
                                                        const std::string& role) const;

private:
  enum class State { Active, Resigned };

  struct HeldLease {
    FencingToken token = 0;
    TimePoint expires_at{};
  };

  using HeldLeases = std::map<std::string, HeldLease>;  // By role.

  [[nodiscard]] Duration draw_request_interval();
  void expire_leases(TimePoint now, ClientActions& actions);
  void send_request(TimePoint now, ClientActions& actions);
  void replace_held_leases(TimePoint now, HeldLeases new_leases, ClientActions& actions);

  Settings settings_;
  std::string holder_;
  std::string zone_;
  State state_ = State::Active;
  std::uint64_t last_request_number_ = 0;
  std::uint64_t last_answered_request_ = 0;
  /// By request number, when the request was sent; only the newest requests are kept.
  std::map<std::uint64_t, TimePoint> unanswered_requests_;
  HeldLeases held_leases_;
  TimePoint next_request_at_ = kNever;
  TimePoint deadline_ = kNever;
  std::mt19937_64 random_;
};

}  // namespace gorsebeam::leases
