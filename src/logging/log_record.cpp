#include "log_record.h"

#include <cmath>

namespace gorsebeam::logging {
namespace {

const char* reason_name(EjectionReason reason) {
  switch (reason) {
  case EjectionReason::ConsecutiveTimeouts:
    return "consecutive_timeouts";
  case EjectionReason::ConnectionFailure:
    return "connection_failure";
  case EjectionReason::ErrorRatio:
    return "error_ratio";
  }
  return "unknown";
}

const char* reason_name(SlowStartReason reason) {
  switch (reason) {
  case SlowStartReason::ListedStart:
    return "listed_start";
  case SlowStartReason::AssumedRestart:
    return "assumed_restart";
  }
  return "unknown";
}

std::string percent(double fraction) {
  return std::to_string(std::lround(100 * fraction));
}

void append_counts(Fields& fields, const SlowStartCounts& counts) {
  fields.emplace_back("attempts", std::to_string(counts.attempts));
  fields.emplace_back("recovery_attempts", std::to_string(counts.recovery_attempts));
  fields.emplace_back("health_checks", std::to_string(counts.health_checks));
  fields.emplace_back("not_admitted", std::to_string(counts.not_admitted));
}

/// Builds the record of a log message; there is an overload for each type.
struct RecordBuilder {
  LogRecord operator()(const PrimaryElected& message) const {
    return group_event("primary_elected", message.group, message.endpoint);
  }

  LogRecord operator()(const PrimaryDemoted& message) const {
    return group_event("primary_demoted", message.group, message.endpoint);
  }

  LogRecord operator()(const PrimarySuspected& message) const {
    return group_event("primary_suspected", message.group, message.endpoint);
  }

  LogRecord operator()(const EndpointEjected& message) const {
    return {
        "endpoint_ejected",
        {{"endpoint", std::to_string(message.endpoint)}, {"reason", reason_name(message.reason)}}};
  }

  LogRecord operator()(const EndpointReadmitted& message) const {
    return {"endpoint_readmitted", {{"endpoint", std::to_string(message.endpoint)}}};
  }

  LogRecord operator()(const EndpointDraining& message) const {
    return {"endpoint_draining", {{"endpoint", std::to_string(message.endpoint)}}};
  }

  LogRecord operator()(const EndpointRemoved& message) const {
    return {"endpoint_removed", {{"endpoint", std::to_string(message.endpoint)}}};
  }

  LogRecord operator()(const EndpointMoved& message) const {
    return {"endpoint_moved",
            {{"endpoint", std::to_string(message.endpoint)},
             {"from_group", std::to_string(message.from)},
             {"to_group", std::to_string(message.to)}}};
  }

  LogRecord operator()(const SlowStartBegan& message) const {
    return {"endpoint_slow_start_began",
            {{"endpoint", std::to_string(message.endpoint)},
             {"reason", reason_name(message.reason)},
             {"age_ms", std::to_string(message.age / 1ms)},
             {"capacity_percent", percent(message.capacity)}}};
  }

  LogRecord operator()(const SlowStartWindow& message) const {
    Fields fields{{"endpoint", std::to_string(message.endpoint)},
                  {"capacity_percent", percent(message.capacity)}};
    append_counts(fields, message.counts);
    return make_record("endpoint_slow_start_window", std::move(fields));
  }

  LogRecord operator()(const SlowStartEnded& message) const {
    Fields fields{{"endpoint", std::to_string(message.endpoint)}};
    append_counts(fields, message.counts);
    return make_record("endpoint_slow_start_ended", std::move(fields));
  }

private:
  static LogRecord make_record(const char* event, Fields fields) {
    return {event, std::move(fields)};
  }

  static LogRecord group_event(const char* event, GroupId group, EndpointId endpoint) {
    return {event, {{"group", std::to_string(group)}, {"endpoint", std::to_string(endpoint)}}};
  }
};

bool is_control(char c) {
  return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
}

/// `value` with each control character replaced by '?' and a backslash before each '"'. It is put
/// in quotation marks if it is empty or contains a control character, a space, '"' or '='.
std::string quoted_if_needed(const std::string& value) {
  std::string escaped;
  bool is_plain = !value.empty();
  for (const char c : value) {
    is_plain &= !is_control(c) && c != ' ' && c != '"' && c != '=';
    if (c == '"')
      escaped += '\\';
    escaped += is_control(c) ? '?' : c;
  }
  return is_plain ? escaped : '"' + escaped + '"';
}

}  // namespace

LogRecord to_record(const LogMessage& message) {
  return std::visit(RecordBuilder{}, message);
}

const char* reason_name(AnswerReason reason) {
  switch (reason) {
  case AnswerReason::RateLimit:
    return "rate_limit";
  case AnswerReason::OutOfTime:
    return "out_of_time";
  case AnswerReason::AttemptsUsed:
    return "attempts_used";
  case AnswerReason::UnsafeToRetry:
    return "unsafe_to_retry";
  case AnswerReason::NoPrimary:
    return "no_primary";
  }
  return "unknown";
}

const char* wait_reason_name(WaitReason reason) {
  switch (reason) {
  case WaitReason::Nothing:
    return "nothing";
  case WaitReason::SlowStart:
    return "slow_start";
  case WaitReason::Load:
    return "load";
  case WaitReason::CurrentReplica:
    return "current_replica";
  case WaitReason::Primary:
    return "primary";
  case WaitReason::RetryBackoff:
    return "retry_backoff";
  }
  return "unknown";
}

const char* status_name(AttemptStatus status) {
  switch (status) {
  case AttemptStatus::Ok:
    return "ok";
  case AttemptStatus::Misdirected:
    return "misdirected";
  case AttemptStatus::Error:
    return "error";
  case AttemptStatus::Rejected:
    return "rejected";
  case AttemptStatus::Timeout:
    return "timeout";
  case AttemptStatus::ConnectFailed:
    return "connect_failed";
  case AttemptStatus::Reset:
    return "reset";
  case AttemptStatus::Cancelled:
    return "cancelled";
  case AttemptStatus::NotSent:
    return "not_sent";
  }
  return "unknown";
}

std::string to_text(const LogRecord& record) {
  std::string text = record.event;
  for (const auto& [name, value] : record.fields)
    text += std::string(" ") + name + "=" + quoted_if_needed(value);
  return text;
}

}  // namespace gorsebeam::logging
