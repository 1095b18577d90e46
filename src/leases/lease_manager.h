/// The Raft leader's side of the lease service: it grants each role to one gateway and renews its
/// lease (Gray & Cheriton, "Leases", 1989).
///
/// The manager is a deterministic state machine: it takes events with their time and returns
/// actions. It performs no I/O, reads no clock and starts no thread; all calls come from one
/// thread. Only durations are compared between gateways, and clocks are assumed to deviate from
/// true time by at most `max_clock_drift_ppm`.
///
/// Grants are entries of the Raft log, renewals are not. The lease makes duplicate work rare: the
/// holder counts its duration from before its request and subtracts the drift; the manager counts
/// it from the receipt of the request and adds the drift before it grants the role again. The
/// fencing token, which only grows, makes duplicate work harmless: a holder that was suspended
/// after it checked its clock may act late, and the receiver rejects its lower token
/// (`TokenFence`).
///
/// The manager responds to a request only after a majority has confirmed, in a round that started
/// after the request arrived, that this node still leads. A later leader was therefore elected
/// after the request, and it grants no role until a full lease has passed since its election.
///
/// Invariants, checked by tests/fleet/ over thousands of seeds and by model/leases.pml:
///  - no two gateways have a valid token of a role at the same true time, provided that no clock
///    deviates by more than `max_clock_drift_ppm`;
///  - of two grants of a role, the later one has the higher token;
///  - a TokenFence that has accepted a token accepts no lower one afterwards.
///
/// Bounds: there are at most kMaxRoles roles. The manager keeps one record for each holder that
/// sent a request within the last ten leases, and at most one pending request of each holder.
/// The FlapHistory of a gateway is kept for ten leases after the gateway is no longer avoided.
#pragma once

#include "leases/lease_table.h"
#include "leases/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace gorsebeam::leases {

/// Start a round in which a majority confirms that this node leads, and pass the number of the
/// round to `handle_confirmation_started`.
struct ConfirmLeadership {};

/// Propose the command as an entry of the Raft log.
struct ProposeGrant {
  std::string command;
};

using ManagerAction = std::variant<ConfirmLeadership, ProposeGrant, LeaseResponse>;
using ManagerActions = std::vector<ManagerAction>;

class LeaseManager {
public:
  explicit LeaseManager(Settings settings);

  /// Reports that this node leads from now on and that `table` reflects all entries that earlier
  /// leaders committed. The table is borrowed until `stop_leading`; its owner applies the log to
  /// it.
  void start_leading(TimePoint now, const LeaseTable& table);

  void stop_leading();

  [[nodiscard]] bool is_leading() const { return table_ != nullptr; }

  void handle_request(TimePoint now, const LeaseRequest& request);

  /// Reports that `round` has started. Once it is confirmed, all requests that were received before
  /// it started can be answered.
  void handle_confirmation_started(std::uint64_t round);

  /// Reports that this node led when `round` and all earlier rounds started, and answers the
  /// requests that these rounds confirm.
  void handle_leadership_confirmed(TimePoint now, std::uint64_t round, ManagerActions& actions);

  /// Reports that the grant of `role` in the table has changed.
  void handle_grant_applied(TimePoint now, const std::string& role);

  /// Transfers the role at the request of an operator: stops the renewal of its lease and then
  /// grants the role to the gateway named `preferred_successor`, or to another one if that gateway
  /// is not available.
  void transfer(const std::string& role, const std::string& preferred_successor);

  /// Call it at `next_deadline`, or at any other time.
  void tick(TimePoint now, ManagerActions& actions);

  /// The next time at which `tick` has an effect, or `kNever`.
  [[nodiscard]] TimePoint next_deadline() const { return is_leading() ? deadline_ : kNever; }

private:
  enum class GatewayState {
    Responsive,
    MissesResponses,  ///< It sends requests and does not receive the responses.
    Resigned,         ///< The state is final for this incarnation.
  };

  struct Gateway {
    GatewayState state = GatewayState::Responsive;
    std::string zone;
    TimePoint last_request_at{};
  };

  /// How often a gateway has let leases expire. Stored by gateway name, because the holder changes
  /// with each restart.
  struct FlapHistory {
    int recent_lapses = 0;  ///< Leases that expired although the holder had not resigned.
    TimePoint avoided_until{};
  };

  enum class LeaseState {
    Renewable,
    /// A grant to a successor is proposed and not applied yet; the lease is not renewed.
    GrantProposed,
  };

  struct Lease {
    LeaseState state = LeaseState::Renewable;
    /// The time, by this node's clock, from which on the holder does not act.
    TimePoint expires_at{};
    TimePoint proposed_at{};
    std::string preferred_successor;  ///< Gateway name; empty if there is none.
  };

  struct PendingRequest {
    LeaseRequest request;
    TimePoint received_at{};
    std::uint64_t round = 0;  ///< The round that confirms the request; 0 before it starts.
  };

  /// The cost of a grant to a gateway, compared field by field: whether the gateway is avoided for
  /// flapping, the number of its roles, the number of roles in its zone, and a hash that breaks
  /// ties.
  using PlacementCost = std::tuple<bool, int, int, std::uint64_t>;

  [[nodiscard]] Duration lease_duration_with_drift() const {
    return settings_.lease_duration + settings_.max_clock_drift();
  }

  void expire_leases_of(TimePoint now, const std::string& holder);
  [[nodiscard]] LeaseResponse renew(const PendingRequest& pending);
  [[nodiscard]] bool is_available(TimePoint now, const std::string& holder) const;
  [[nodiscard]] std::optional<std::string> least_loaded_gateway(TimePoint now,
                                                                const std::string& role) const;
  [[nodiscard]] std::optional<std::string> choose_successor(TimePoint now, const std::string& role,
                                                            const Lease& lease) const;
  void forget_silent_gateways(TimePoint now);
  [[nodiscard]] bool needs_successor(TimePoint now, const std::string& holder,
                                     const Lease& lease) const;
  void record_lapse_unless_resigned(TimePoint now, const std::string& holder);
  void grant_if_expired(TimePoint now, const std::string& role, Lease& lease,
                        ManagerActions& actions);
  void propose_grant(TimePoint now, const std::string& role, const std::string& successor,
                     Lease& lease, ManagerActions& actions);

  Settings settings_;
  const LeaseTable* table_ = nullptr;                       ///< Borrowed; set while leading.
  std::map<std::string, Gateway> gateways_;                 ///< By holder.
  std::map<std::string, FlapHistory> flap_histories_;       ///< By gateway name.
  std::map<std::string, Lease> leases_;                     ///< By role.
  std::map<std::string, PendingRequest> pending_requests_;  ///< By holder.
  TimePoint deadline_ = kNever;
};

}  // namespace gorsebeam::leases
