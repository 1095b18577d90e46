#include "action_executor.h"

#include "logging/log_record.h"
#include "net/log.h"
#include "violation_report.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace gorsebeam::proxy {

namespace {

/// The fields that tell what happened to a request before its final answer.
logging::Fields history_fields(const TrackedRequest& request, WaitReason waited_for) {
  return {{"waited_for", logging::wait_reason_name(waited_for)},
          {"attempts", std::to_string(request.started_attempts)},
          {"age_ms", std::to_string((net::now() - request.begun_at) / 1ms)}};
}

void append(logging::Fields& fields, const logging::Fields& further) {
  fields.insert(fields.end(), further.begin(), further.end());
}

}  // namespace

void ActionExecutor::perform(const Action& action) {
  std::visit(
      [this](const auto& chosen) {
        this->execute(chosen);
      },
      action);
}

void ActionExecutor::execute(const StartAttempt& action) {
  TrackedRequest* const request = requests_.find(action.request_id);
  if (request == nullptr)
    return;
  const std::uint32_t number = request->started_attempts++;
  if (!request->is_open() || request->current_attempt) {
    skip_attempt(action, number, !request->is_open());
    return;
  }
  const TimePoint now = net::now();
  const AttemptId attempt =
      in_flight_.add_attempt({action.request_id, number, action.endpoint, now, std::nullopt});
  request->current_attempt = attempt;
  TimePoint deadline = request->deadline;
  if (action.timeout > 0ms)
    deadline = std::min(now + action.timeout, deadline);
  upstream_->start_attempt(attempt, action.endpoint, *request->call, deadline);
}

void ActionExecutor::skip_attempt(const StartAttempt& action, std::uint32_t number,
                                  bool request_finished) {
  AttemptResult result;
  result.request_id = action.request_id;
  result.attempt = number;
  result.endpoint = action.endpoint;
  result.status = AttemptStatus::NotSent;
  result.request_finished = request_finished;
  queue_.push(std::move(result));
}

void ActionExecutor::execute(const SendHealthCheck& action) {
  in_flight_.add_health_check(action.endpoint, net::now());
  upstream_->start_health_check(action.endpoint);
}

void ActionExecutor::execute(const CancelAttempt& action) {
  const TrackedRequest* const request = requests_.find(action.request_id);
  if (request == nullptr || !request->current_attempt)
    return;
  const bool is_current = request->started_attempts == action.attempt + 1;
  if (is_current)
    upstream_->cancel_attempt(*request->current_attempt);
}

void ActionExecutor::execute(const RejectRequest& action) {
  const TrackedRequest* const request = requests_.find(action.request_id);
  if (request == nullptr)
    return;
  const auto violation = guard_.check_rejection(request->history);
  const logging::Fields history = history_fields(*request, action.waited_for);
  ClientCall* const call = requests_.complete(action.request_id);
  if (call == nullptr)
    return;
  if (violation) {
    report_violation(guard_, *violation, action.request_id, 0);
    call->fail();
    return;
  }
  logging::Fields fields{{"request", action.request_id},
                         {"reason", logging::reason_name(action.reason)},
                         {"retry_after_ms", std::to_string(action.retry_after / 1ms)}};
  append(fields, history);
  net::log({"request_rejected", std::move(fields)});
  call->reject(action.retry_after);
}

void ActionExecutor::execute(const FailRequest& action) {
  const TrackedRequest* const request = requests_.find(action.request_id);
  if (request == nullptr)
    return;
  const logging::Fields history = history_fields(*request, action.waited_for);
  ClientCall* const call = requests_.complete(action.request_id);
  if (call == nullptr)
    return;
  logging::Fields fields{{"request", action.request_id},
                         {"reason", logging::reason_name(action.reason)}};
  append(fields, history);
  net::log({"request_failed", std::move(fields)});
  call->fail();
}

void ActionExecutor::execute(const SetTimer& action) {
  timer_.at(action.at);
}

// There is nothing to do, because discovery watches the endpoint list at all times.
void ActionExecutor::execute(const WatchEndpoints&) {}

void ActionExecutor::execute(const LogMessage& message) {
  net::log(logging::to_record(message));
}

}  // namespace gorsebeam::proxy
