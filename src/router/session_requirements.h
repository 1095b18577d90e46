/// Tracks which position a session's reads must see, where this router remembers sessions' writes.
#pragma once

#include "gorsebeam/events.h"
#include "gorsebeam/settings.h"
#include "router/request_table.h"
#include "session_tokens/session_writes.h"

namespace gorsebeam::router {

/// Feeds the attempts of writes to the session writes and reads tokens from them.
class SessionRequirements {
public:
  explicit SessionRequirements(const Settings& settings);

  /// The position that a read which arrives now must see; kUnknownPosition: any.
  [[nodiscard]] ReplicationPosition
  token_for(const Request& request, const RequestClass& request_class, TimePoint now) const;

  /// An attempt of the request starts.
  void record_start(const PendingRequest& request, TimePoint now);

  /// An attempt ended; `may_have_run` says whether it may have run without an answer.
  void record_end(const PendingRequest& request, const UpstreamAttempt& attempt,
                  const AttemptResult& result, bool may_have_run, TimePoint now);

private:
  [[nodiscard]] bool remembers(const PendingRequest& request) const;

  const Settings& settings_;
  session_tokens::SessionWrites writes_;
};

}  // namespace gorsebeam::router
