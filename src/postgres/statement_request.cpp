#include "statement_request.h"

#include "statement.h"

#include "frontend/session_hash.h"

#include <glib.h>

#include <algorithm>
#include <string>

namespace gorsebeam::postgres {
namespace {

using sql_classifier::Classification;
using sql_classifier::Effect;
using sql_classifier::SqlClassifier;

constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;
constexpr std::uint64_t kMaxLastWriteMs = 9'000'000'000'000ULL;
constexpr std::uint64_t kMaxGroup = 0xffffffffU;
constexpr std::size_t kMaxSessionDigits = 16;

/// Returns the number of the session with the key `key`: a key of up to 16 hexadecimal digits is
/// the number itself, and any other key is hashed.
std::uint64_t session_from_key(std::string_view key) {
  std::uint64_t number = 0;
  bool is_hexadecimal = !key.empty() && key.size() <= kMaxSessionDigits;
  for (const char c : key) {
    is_hexadecimal = is_hexadecimal && g_ascii_isxdigit(c) != 0;
    number = number << 4 | static_cast<std::uint64_t>(std::max(0, g_ascii_xdigit_value(c)));
  }
  return is_hexadecimal ? number : frontend::hash_session_name(key);
}

/// Classifies a statement. Without a classifier, a SELECT is a read and any other statement a
/// write.
Classification classify(const Statement& statement, std::string_view text,
                        const SqlClassifier* classifier) {
  if (classifier)
    return classifier->classify(text);
  return {statement.is_select ? Effect::Read : Effect::Write, ""};
}

/// Returns why a statement does not fit its request class, or nothing if it does. The client names
/// the class: a write in a class that reads would be sent to a replica, and would be retried as if
/// it changed nothing.
std::optional<SqlError> check_class(const Statement& statement,
                                    const Classification& classification,
                                    const SqlClassifier* classifier, const RequestClass& settings) {
  const bool is_write = frontend::is_write(settings);
  if (classifier && classification.effect != Effect::Read && !is_write)
    return SqlError{kReadOnlyTransaction,
                    "the statement may write, and its class reads: " + classification.reason};
  if (!classifier && statement.is_select == is_write)
    return SqlError{kSyntaxError, "the statement does not fit its class"};
  if (settings.idempotency == Idempotency::IdempotencyKey && statement.idempotency_key.empty())
    return SqlError{kSyntaxError, "the class needs an idempotency key"};
  return std::nullopt;
}

DeadlineField deadline_field(const Statement& statement, std::string_view text) {
  const auto offset = static_cast<std::size_t>(statement.deadline.data() - text.data());
  return {offset, statement.deadline.size()};
}

/// Sets the session token of `request` from the statement's field "after", if there is one. Returns
/// why the statement is rejected if the field is not a position: without it the read could be
/// answered from before its session's last write.
std::optional<SqlError> set_session_token(const Statement& statement, Request& request) {
  if (statement.last_write.empty())
    return std::nullopt;
  const auto unix_ms = parse_whole_number(statement.last_write, kMaxLastWriteMs);
  if (!unix_ms)
    return SqlError{kSyntaxError, "the statement's comment holds no position in 'after'"};
  request.session_token = ReplicationPosition(std::chrono::milliseconds(*unix_ms));
  return std::nullopt;
}

}  // namespace

common::Result<StatementRequest, SqlError> parse_request(std::string_view text,
                                                         const frontend::RequestClasses& classes,
                                                         const SqlClassifier* classifier) {
  const Statement statement = parse_statement(text);
  if (statement.has_multiple_statements)
    return SqlError{kSyntaxError, "a query holds one statement"};
  if (statement.id.empty())
    return SqlError{kSyntaxError, "the statement's comment holds no id"};
  const auto request_class = classes.find(std::string(statement.service_class));
  if (!request_class)
    return SqlError{kSyntaxError, "the statement's comment names no known class"};
  const auto deadline_ms = parse_whole_number(statement.deadline, kMaxDeadlineMs);
  if (!deadline_ms || *deadline_ms == 0)
    return SqlError{kSyntaxError, "the statement's comment holds no time to wait"};
  const auto group = parse_whole_number(statement.group, kMaxGroup);
  if (!group)
    return SqlError{kSyntaxError, "the statement's comment names no cluster"};
  const RequestClass& settings = request_class->settings;
  const Classification classification = classify(statement, text, classifier);
  if (const auto error = check_class(statement, classification, classifier, settings))
    return *error;
  StatementRequest request;
  if (const auto error = set_session_token(statement, request.parsed.request))
    return *error;
  request.parsed.request.id = std::string(statement.id);
  request.parsed.request.class_index = request_class->index;
  request.parsed.request.group = static_cast<GroupId>(*group);
  request.parsed.request.is_client_retry = statement.retry == "1";
  if (settings.idempotency == Idempotency::IdempotencyKey)
    request.parsed.request.idempotency_key = std::string(statement.idempotency_key);
  if (frontend::belongs_to_session(settings))
    request.parsed.request.session = session_from_key(statement.first_literal);
  request.parsed.time_limit = std::chrono::milliseconds(*deadline_ms);
  request.parsed.is_single_attempt =
      classifier != nullptr && classification.effect == Effect::Unknown;
  request.deadline = deadline_field(statement, text);
  return request;
}

}  // namespace gorsebeam::postgres
