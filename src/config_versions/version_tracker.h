/// Decides which version of each resource type runs. It implements the client of the xDS transport
/// protocol ("state of the world" variant) for types that refer to each other.
/// Source: "xDS REST and gRPC protocol", Envoy documentation.
///
/// The tracker takes events with their time and returns actions; it uses no I/O, clock or thread.
/// Its memory is bounded: for each type it holds one running version and at most one pending
/// response.
///
/// Invariants, checked by tests/version_tracker_history_test.cpp and model/versions.pml:
///  - each running version was accepted as a whole, and the types are valid together;
///  - no older generation replaces a newer one, except by a rollback that names the newest accepted
///    generation or a later one;
///  - after the loss of the stream, an attempt to connect follows within `max_reconnect_backoff`;
///  - each response of a stream is acknowledged or rejected at most once, and exactly once if the
///    stream lasts for another `dependency_timeout`.
#pragma once

#include "actions.h"
#include "apply_scheduler.h"
#include "configuration.h"
#include "pending_responses.h"
#include "stream_lifecycle.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace gorsebeam::config_versions {

struct TrackerSettings {
  StreamSettings stream;
  /// Longest time for which a response waits for a response of another type.
  Duration dependency_timeout = 3s;
  /// Shortest time between two ApplyConfiguration actions that responses cause.
  Duration apply_interval = 50ms;
  std::uint64_t seed = 1;
};

/// The caller passes times that never decrease, and executes the actions that the functions append
/// to `actions` in their order.
class VersionTracker {
public:
  VersionTracker(TrackerSettings settings, Validator validator);

  /// Sets the initial versions, those of the operators' file. Call it before `start`.
  void set_file_versions(FileVersions versions);

  /// Replaces the versions of the operators' file by those of the snapshot that are at least as
  /// new. Changes nothing and returns the error if the result is not valid. Call it after
  /// `set_file_versions` and before `start`.
  [[nodiscard]] std::optional<ValidationError> restore_snapshot(SnapshotVersions snapshot);

  /// Applies the current versions and connects.
  void start(TimePoint now, Actions& actions);

  /// Applies the versions of the operators' file after it was read again. A running version of the
  /// file is always replaced, a version of a control service only if the file's generation is newer
  /// than every accepted one. Changes nothing and returns the error if the result is not valid.
  [[nodiscard]] std::optional<ValidationError>
  replace_file_versions(TimePoint now, FileVersions versions, Actions& actions);

  /// Replaces the settings. If the addresses change, the stream is closed.
  void update_settings(TimePoint now, TrackerSettings settings, Actions& actions);

  void on_stream_opened(TimePoint now, Actions& actions);

  /// Reports that bytes of any kind arrived from the control service.
  void on_bytes_received(TimePoint now);

  void on_response(TimePoint now, const DiscoveryResponse& response, Actions& actions);
  void on_stream_lost(TimePoint now, const StreamError& error, Actions& actions);

  /// Call it at `next_deadline`, or at any other time.
  void on_timer(TimePoint now, Actions& actions);

  /// Returns the next time at which `on_timer` has an effect, or `kNever`.
  [[nodiscard]] TimePoint next_deadline() const;

  [[nodiscard]] const AcceptedVersion& accepted(ResourceType type) const {
    return accepted_[index_of(type)];
  }

  [[nodiscard]] bool is_streaming() const { return stream_.is_streaming(); }

  /// The address of the current or the last connection; empty before the first one.
  [[nodiscard]] const std::string& address() const { return stream_.address(); }

private:
  [[nodiscard]] AcceptedVersion& accepted_of(ResourceType type) {
    return accepted_[index_of(type)];
  }

  [[nodiscard]] std::string& acknowledged_version_of(ResourceType type) {
    return acknowledged_versions_[index_of(type)];
  }

  [[nodiscard]] Bodies running_bodies() const;

  /// Replaces the running versions of `types` by those of the file. Returns whether the content of
  /// any of these types changed.
  [[nodiscard]] bool replace_with_file_versions(TimePoint now, FileVersions versions,
                                                TypeSet types);

  void clear_pending_without_stream();

  void add_pending(TimePoint now, const DiscoveryResponse& response, Actions& actions);
  void accept_pending(TimePoint now, Actions& actions);
  void accept_running_content(ResourceType type, const DiscoveryResponse& response,
                              Actions& actions);
  void accept_new_content(TimePoint now, ResourceType type, const DiscoveryResponse& response,
                          Actions& actions);
  void record_accepted_version(ResourceType type, const DiscoveryResponse& response);
  void acknowledge(ResourceType type, const DiscoveryResponse& response, std::string detail,
                   Actions& actions);

  void reject(const DiscoveryResponse& response, const RejectionError& error, Actions& actions);
  void reject_superseded(ResourceType type, const DiscoveryResponse& successor, Actions& actions);
  void reject_expired(TimePoint now, Actions& actions);

  void apply(TimePoint now, Actions& actions);

  TrackerSettings settings_;
  Validator validator_;
  StreamLifecycle stream_;
  AcceptedVersions accepted_;
  /// The version of each type that was last acknowledged to the control service, on any stream. A
  /// restored snapshot sets it to the version in the snapshot.
  std::array<std::string, kResourceTypeCount> acknowledged_versions_;
  PendingResponses pending_;
  ApplyScheduler apply_scheduler_;
};

}  // namespace gorsebeam::config_versions
