/// Holds the open requests and their attempts.
#pragma once

#include "gorsebeam/actions.h"
#include "gorsebeam/events.h"
#include "gorsebeam/settings.h"
#include "router/time_points.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace gorsebeam::router {

/// One attempt of a request at an endpoint.
struct UpstreamAttempt {
  EndpointId endpoint = 0;
  TimePoint sent_at{};
  /// The position that a read must see.
  ReplicationPosition required_position = kUnknownPosition;
  bool in_flight = true;
  bool is_overdue = false;
  bool is_recovery = false;       ///< Sent to an ejected endpoint; an answer readmits it.
  bool connection_broke = false;  ///< Ended by a connection that failed or broke.
};

/// A request that has no final answer yet, or still has attempts in flight after its final answer.
struct PendingRequest {
  Request request;
  std::uint64_t sequence = 0;  ///< Numbers the requests by arrival.
  TimePoint arrived_at{};
  TimePoint objective_at{};  ///< An answer later than this is late.
  TimePoint give_up_at{};    ///< No attempt starts after this time.
  /// The position that a read at the consistency level Session must see.
  ReplicationPosition session_token = kUnknownPosition;
  std::uint64_t affinity_hash = 0;  ///< Of its session, or of its id; assigns it to an endpoint.
  std::uint64_t id_hash = 0;        ///< Of its id; determines random choices for this request.
  std::vector<UpstreamAttempt> attempts;
  TimePoint may_have_run_at = kUnknownTime;  ///< When the first attempt that may have run was sent.
  EndpointId may_have_run_on = 0;            ///< The endpoint of that attempt.
  bool is_closed = false;        ///< It has its final answer, or its client disconnected.
  bool is_hedged = false;        ///< A hedged attempt was sent.
  TimePoint retry_not_before{};  ///< No attempt starts before this time.
  WaitReason waits_for = WaitReason::Nothing;  ///< Why its last dispatch started no attempt.
  TimePoint check_at = kNever;                 ///< When it is checked next.
  int in_flight = 0;                           ///< The number of attempts in flight.
};

/// Owns the open requests. Its size is bounded by the requests that the embedding program keeps
/// open.
class RequestTable {
public:
  /// Adds a request with the next sequence number.
  PendingRequest& add(const Request& request);

  [[nodiscard]] bool contains(const std::string& id) const { return ids_.count(id) > 0; }

  /// The open request with this id, or nullptr.
  [[nodiscard]] PendingRequest* find(const std::string& id);

  /// The open request with this sequence number; it must exist.
  [[nodiscard]] PendingRequest& at(std::uint64_t sequence) { return requests_.at(sequence); }

  /// Removes a request, which invalidates references to it.
  void remove(const PendingRequest& request);

  /// The endpoints at which open requests had attempts.
  [[nodiscard]] std::set<EndpointId> endpoints_in_use() const;

private:
  std::map<std::uint64_t, PendingRequest> requests_;    // by arrival
  std::unordered_map<std::string, std::uint64_t> ids_;  // never iterated: the order may differ
  std::uint64_t next_sequence_ = 0;
};

}  // namespace gorsebeam::router
