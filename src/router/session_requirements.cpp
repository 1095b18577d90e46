#include "router/session_requirements.h"

namespace gorsebeam::router {

using session_tokens::WriteResult;

SessionRequirements::SessionRequirements(const Settings& settings)
    : settings_(settings), writes_(settings.assumed_response_delay) {}

ReplicationPosition SessionRequirements::token_for(const Request& request,
                                                   const RequestClass& request_class,
                                                   TimePoint now) const {
  if (request_class.consistency != ConsistencyLevel::Session)
    return kUnknownPosition;
  if (settings_.session_token_source == SessionTokenSource::Router)
    return request.session ? writes_.required_position(*request.session, now) : kUnknownPosition;
  return request.session_token.value_or(kUnknownPosition);
}

bool SessionRequirements::is_tracked_write(const PendingRequest& request) const {
  const RequestClass& request_class = settings_.classes[request.request.class_index];
  return request_class.consistency == ConsistencyLevel::Write &&
         settings_.session_token_source == SessionTokenSource::Router && request.request.session;
}

void SessionRequirements::record_start(const PendingRequest& request, TimePoint now) {
  if (is_tracked_write(request))
    writes_.begin_write(*request.request.session, now);
}

void SessionRequirements::record_end(const PendingRequest& request, const UpstreamAttempt& attempt,
                                     const AttemptResult& result, TimePoint now) {
  if (!is_tracked_write(request))
    return;
  WriteResult end = WriteResult::NotExecuted;
  if (may_have_run(result.status))
    end = WriteResult::Unknown;
  else if (result.status == AttemptStatus::Ok)
    end = WriteResult::Committed;
  const auto commit = result.commit_position ? result.commit_position : result.replication_position;
  writes_.complete_write(*request.request.session, attempt.sent_at, end, commit, now);
}

}  // namespace gorsebeam::router
