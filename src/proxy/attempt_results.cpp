#include "attempt_results.h"

#include "logging/log_record.h"
#include "net/log.h"

#include <string>

namespace gorsebeam::proxy {

AttemptResult make_attempt_result(const InFlightAttempt& attempt, const UpstreamResponse& response,
                                  TimePoint now) {
  AttemptResult result;
  result.request_id = attempt.request_id;
  result.attempt = attempt.number;
  result.endpoint = attempt.endpoint;
  result.status = response.status;
  result.elapsed = now - attempt.started_at;
  result.role = response.role;
  result.replication_position = response.replication_position;
  result.commit_position = response.commit_position;
  result.load_report = response.load_report;
  return result;
}

void log_failed_attempt(const AttemptResult& result) {
  net::log({"attempt_failed",
            {{"request", result.request_id},
             {"attempt", std::to_string(result.attempt)},
             {"endpoint", std::to_string(result.endpoint)},
             {"status", logging::status_name(result.status)},
             {"elapsed_ms", std::to_string(result.elapsed / 1ms)}}});
}

}  // namespace gorsebeam::proxy
