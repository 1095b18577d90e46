/// The Raft leader's side of the lease service: it grants each role to one gateway and renews its
/// lease (Gray & Cheriton, "Leases", 1989).
///
/// A deterministic state machine: events with their time go in, actions come out. It performs no
/// I/O, reads no clock and starts no thread; all calls come from one thread. Only durations are
/// compared between gateways, and clocks are assumed to deviate from true time by at most
/// `max_clock_drift_ppm`.
///
/// Grants go through the log, renewals do not. The lease makes duplicate work rare: the holder
/// measures it from before its request, less the drift; the manager waits the lease and the drift
/// from when it received the request before it grants the role again. The fencing token, which only
/// grows, makes duplicate work harmless: a holder that was suspended after it checked its clock may
/// act late, and the receiver rejects its lower token (`TokenFence`).
///
/// A request is answered only after a majority has confirmed, later than the request arrived, that
/// this node still leads. A later leader was therefore elected after the request, and it waits a
/// full lease from its election.
///
/// Invariants, checked by tests/fleet/ over thousands of seeds and by model/leases.pml:
///  - no two gateways have a valid token of a role at the same true time, while all clocks keep
///    within the drift;
///  - of two grants of a role the later has the higher token;
///  - a TokenFence that has accepted a token accepts no lower one afterwards.
///
/// Bounds: kMaxRoles roles; one record for each holder that sent a request within the last ten
/// leases, and at most one pending request of each.
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

/// Ask a majority whether this node leads, and pass the round's number to
/// `handle_confirmation_started`.
struct ConfirmLeadership {};

/// Propose the command to the log.
struct ProposeGrant {
  std::string command;
};

using ManagerAction = std::variant<ConfirmLeadership, ProposeGrant, LeaseResponse>;
using ManagerActions = std::vector<ManagerAction>;

class LeaseManager {
public:
  explicit LeaseManager(Settings settings);

  /// This node leads from now on, and `table` holds all entries that earlier leaders committed. The
  /// table is borrowed until `stop_leading`, and follows the log.
  void start_leading(TimePoint now, const LeaseTable& table);
  void stop_leading();

  [[nodiscard]] bool is_leading() const { return table_ != nullptr; }

  void handle_request(TimePoint now, const LeaseRequest& request);
  /// `round` covers all requests that were received so far.
  void handle_confirmation_started(std::uint64_t round);
  void handle_leadership_confirmed(TimePoint now, std::uint64_t round, ManagerActions& actions);
  /// The grant of `role` in the table has changed.
  void handle_grant_applied(TimePoint now, const std::string& role);
  /// An operator's request: the holder is no longer renewed, and the gateway named
  /// `preferred_successor` is granted the role next if it is available.
  void transfer(const std::string& role, const std::string& preferred_successor);
  /// Call at `next_deadline()`; an earlier call does no harm.
  void tick(TimePoint now, ManagerActions& actions);

  [[nodiscard]] TimePoint next_deadline() const { return is_leading() ? deadline_ : kNever; }

private:
  enum class GatewayState {
    Responsive,
    MissesResponses,  ///< It sends requests and does not receive the responses.
    Resigned,         ///< Final for this incarnation.
  };

  struct Gateway {
    GatewayState state = GatewayState::Responsive;
    std::string zone;
    TimePoint last_request_at{};
  };

  /// Kept by gateway name, as incarnations differ.
  struct FlapHistory {
    int recent_lapses = 0;  ///< Leases that expired without the holder giving them up.
    TimePoint avoided_until{};
  };

  enum class LeaseState {
    Renewable,
    GrantProposed,  ///< A successor's grant is on its way through the log; no renewal.
  };

  struct Lease {
    LeaseState state = LeaseState::Renewable;
    TimePoint expires_at{};  ///< When the holder has certainly stopped, by this node's clock.
    TimePoint proposed_at{};
    std::string preferred_successor;  ///< Gateway name; empty: none.
  };

  struct PendingRequest {
    LeaseRequest request;
    TimePoint received_at{};
    std::uint64_t round = 0;  ///< That confirms it; 0: not started.
  };

  /// Compared field by field: flapping, roles held by the gateway, roles held in its zone, hash.
  using PlacementCost = std::tuple<bool, int, int, std::uint64_t>;

  [[nodiscard]] Duration lease_with_drift() const {
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
  void grant_if_expired(TimePoint now, const std::string& role, Lease& lease,
                        ManagerActions& actions);
  void propose_grant(TimePoint now, const std::string& role, const std::string& successor,
                     Lease& lease, ManagerActions& actions);
  void record_lapse(TimePoint now, const std::string& holder);

  Settings settings_;
  const LeaseTable* table_ = nullptr;                       ///< Borrowed; set while leading.
  std::map<std::string, Gateway> gateways_;                 ///< By holder.
  std::map<std::string, FlapHistory> flap_histories_;       ///< By gateway name.
  std::map<std::string, Lease> leases_;                     ///< By role.
  std::map<std::string, PendingRequest> pending_requests_;  ///< By holder.
  TimePoint deadline_ = kNever;
};

}  // namespace gorsebeam::leases
