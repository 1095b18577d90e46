/// Tracks each request from its start until it is complete and its last attempt has ended.
///
/// Performs no I/O; the caller passes the time in. Runs on one thread. Holds one entry for each
/// request that is open or has an attempt in flight.
#pragma once

#include "interfaces.h"
#include "invariant_guard.h"
#include "sent_requests.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace gorsebeam::proxy {

/// One request as the broker sees it.
struct TrackedRequest {
  ClientCall* call = nullptr;  ///< Borrowed; null once the request is complete.
  std::uint32_t started_attempts = 0;
  std::optional<AttemptId> current_attempt;  ///< The attempt in flight.
  TimePoint deadline{};
  TimePoint begun_at{};
  SentRequestKeys keys;
  RequestHistory history;  ///< Also holds whether the request is open.

  /// Whether the request has no final answer and its client has not disconnected.
  [[nodiscard]] bool is_open() const { return history.is_open; }
};

class RequestTracker {
public:
  /// Whether `request_id` names a request that is open or has an attempt in flight.
  [[nodiscard]] bool contains(const std::string& request_id) const {
    return requests_.count(request_id) > 0;
  }

  /// Adds an open request, whose id must not be tracked yet and whose hashes are `keys`. Borrows
  /// `call` until the request is complete.
  void begin(const Request& request, const SentRequestKeys& keys, ClientCall& call, TimePoint now);

  /// Returns the entry, valid until it is erased, or null if there is none.
  [[nodiscard]] TrackedRequest* find(const std::string& request_id);

  /// Records that an open request got its final answer or that its client disconnected, and returns
  /// its call. Returns null if the request is not open. Erases the entry unless an attempt is in
  /// flight.
  ClientCall* complete(const std::string& request_id);

  /// Records the end of the attempt in flight, which was written at `written_at` if it was written
  /// at all. Returns whether the request is open; if it is not, the entry is erased.
  bool record_attempt_end(const std::string& request_id, std::optional<TimePoint> written_at,
                          AttemptStatus status);

  /// The ids of the open requests whose deadline has passed, in no particular order.
  [[nodiscard]] std::vector<std::string> overdue(TimePoint now) const;

  /// The number of open requests.
  [[nodiscard]] std::size_t open_count() const { return open_count_; }

private:
  std::unordered_map<std::string, TrackedRequest> requests_;
  std::size_t open_count_ = 0;
};

}  // namespace gorsebeam::proxy
