/// What a router is told. The embedding program translates them from its wire.
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
  TimePoint started_at{};          ///< The last start of its process; 0: long ago.
  bool listed_as_primary = false;  ///< As the list has it, which may be old.
  double weight = 1;               ///< Relative capacity.
};

/// The endpoint list, or changes to it.
struct EndpointList {
  enum class Kind {
    Cached,  ///< As it was held before this router started; may be old.
    Full,    ///< All endpoints: whoever is missing has been removed.
    Delta,   ///< Only the entries that changed.
    Failed,  ///< A poll failed; `endpoints` is empty.
  };

  Kind kind = Kind::Full;
  std::vector<Endpoint> endpoints;
};

/// A client's request. Ids of open requests are unique; a duplicate is ignored.
struct Request {
  std::string id;
  std::size_t class_index = 0;  ///< Into `Settings::classes`.
  std::optional<std::size_t> tenant;
  std::optional<std::uint64_t> session;
  TimePoint deadline{};  ///< When the client stops waiting.
  GroupId group = 0;
  /// SessionTokenSource::Client: how long ago the session's last write was committed; 0: no write.
  std::optional<Duration> session_token_age;
  bool is_client_retry = false;
  std::uint32_t max_attempts = 0;     ///< The limit of its contract; 0: the settings' limit.
  Duration rate_limit_retry_after{};  ///< Above 0: over its rate limit, and when the next one fits.
};

/// What an endpoint reports of itself, in a response or to a health check.
struct LoadReport {
  std::optional<ReplicationPosition> replication_position;
  std::optional<bool> is_primary;
};

/// An attempt ended.
struct AttemptResult {
  std::string request_id;
  std::uint32_t attempt = 0;  ///< Counted from 0 for each request.
  EndpointId endpoint = 0;
  AttemptStatus status = AttemptStatus::Ok;
  bool request_finished = false;  ///< The request has its final answer.
  Duration elapsed{};             ///< Since the attempt started.
  Role role = Role::Unknown;
  std::optional<ReplicationPosition>
      replication_position;  ///< Of a write that succeeded: its commit.
  /// Of a write whose commit is later than the endpoint's replication position.
  std::optional<ReplicationPosition> commit_position;
  LoadReport load_report;
};

/// A health check ended.
struct HealthCheckResult {
  EndpointId endpoint = 0;
  bool succeeded = false;
  Duration elapsed{};
  LoadReport load_report;
};

/// The time of the last SetTimer has come.
struct TimerExpired {};

/// The client of an open request left; it needs no answer.
struct ClientDisconnected {
  std::string request_id;
};

using Event = std::variant<EndpointList, Request, AttemptResult, HealthCheckResult, TimerExpired,
                           ClientDisconnected>;

}  // namespace gorsebeam
