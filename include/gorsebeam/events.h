/// Events that the embedding program passes to a router, translated from its own protocol.
#pragma once

#include "gorsebeam/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gorsebeam {

/// One entry of the endpoint list.
struct Endpoint {
  EndpointId id = 0;
  GroupId group = 0;
  std::string zone;
  EndpointStatus status = EndpointStatus::Up;
  TimePoint started_at{};          ///< When its process last started; 0: long ago.
  bool listed_as_primary = false;  ///< In the list, which may be outdated.
  double weight = 1;               ///< Relative capacity.
};

/// The endpoint list, or changes to it.
struct EndpointList {
  enum class Kind {
    Cached,  ///< A list stored before this router started; may be outdated.
    Full,    ///< All endpoints; one that is missing was removed.
    Delta,   ///< Only the entries that changed.
    Failed,  ///< A poll failed; `endpoints` is empty.
  };

  Kind kind = Kind::Full;
  std::vector<Endpoint> endpoints;
};

/// An attempt of an earlier request with the same idempotency key.
struct EarlierAttempt {
  TimePoint sent_at{};
  EndpointId endpoint = 0;
};

/// A client's request. Ids of open requests are unique; a duplicate is ignored.
struct Request {
  std::string id;
  std::size_t class_index = 0;  ///< The index into `Settings::classes`.
  std::optional<std::size_t> tenant;
  std::optional<std::uint64_t> session;
  TimePoint deadline{};  ///< When the client stops waiting.
  GroupId group = 0;
  /// SessionTokenSource::Client only: the position of the session's last commit, which a session
  /// read must see. It can lie ahead of the router's clock. Empty: the session has written nothing.
  std::optional<ReplicationPosition> session_token;
  bool is_client_retry = false;
  /// IdempotencyKey only: the key by which endpoints recognize repeats; empty if it has none.
  std::string idempotency_key;
  /// The client's protocol repeats a request under its id, as MongoDB's drivers do.
  bool id_names_retries = false;
  /// The first attempt with the same idempotency key that may have run; empty if none may have.
  std::optional<EarlierAttempt> earlier_attempt;
  std::uint32_t max_attempts = 0;  ///< By its contract; 0: only the settings limit it.
  /// Above 0: the request exceeds its team's rate limit, which admits one after this time.
  Duration rate_limit_retry_after{};
};

/// What an endpoint reports about itself, in a response or to a health check.
struct LoadReport {
  std::optional<ReplicationPosition> replication_position;
  std::optional<bool> is_primary;
};

/// The end of an attempt.
struct AttemptResult {
  std::string request_id;
  std::uint32_t attempt = 0;  ///< Counted from 0 for each request.
  EndpointId endpoint = 0;
  AttemptStatus status = AttemptStatus::Ok;
  bool request_finished = false;  ///< The request has its final answer.
  Duration elapsed{};             ///< Since the attempt started.
  Role role = Role::Unknown;
  /// The endpoint's position; after a successful write, the position of its commit.
  std::optional<ReplicationPosition> replication_position;
  /// The position of a write's commit, if it is later than `replication_position`.
  std::optional<ReplicationPosition> commit_position;
  LoadReport load_report;
};

/// The end of a health check.
struct HealthCheckResult {
  EndpointId endpoint = 0;
  bool succeeded = false;
  Duration elapsed{};
  LoadReport load_report;
};

/// The timer that the last SetTimer requested has expired.
struct TimerExpired {};

/// The client of an open request disconnected; the request needs no answer.
struct ClientDisconnected {
  std::string request_id;
};

using Event = std::variant<EndpointList, Request, AttemptResult, HealthCheckResult, TimerExpired,
                           ClientDisconnected>;

}  // namespace gorsebeam
