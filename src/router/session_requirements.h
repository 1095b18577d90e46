/// Determines the replication position that a session's reads must see.
#pragma once

#include "gorsebeam/events.h"
#include "gorsebeam/settings.h"
#include "router/request_table.h"
#include "session_tokens/session_writes.h"

namespace gorsebeam::router {

/// Reads session tokens from requests, or, where this router is their source, determines them from
/// the writes that it records.
class SessionRequirements {
public:
  explicit SessionRequirements(const Settings& settings);

  /// The position that a read which arrives at `now` must see; kUnknownPosition if any will do.
  [[nodiscard]] ReplicationPosition
  token_for(const Request& request, const RequestClass& request_class, TimePoint now) const;

  /// Records that an attempt of the request starts.
  void record_start(const PendingRequest& request, TimePoint now);

  /// Records that an attempt ended.
  void record_end(const PendingRequest& request, const UpstreamAttempt& attempt,
                  const AttemptResult& result, TimePoint now);

private:
  [[nodiscard]] bool is_tracked_write(const PendingRequest& request) const;

  const Settings& settings_;
  session_tokens::SessionWrites writes_;
};

}  // namespace gorsebeam::router
