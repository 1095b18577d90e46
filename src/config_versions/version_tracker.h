/// Decides which version of each resource type runs. It is the client of the xDS transport protocol
/// (state of the world) for types that refer to each other.
/// Source: "xDS REST and gRPC protocol", Envoy documentation.
///
/// Pure: it takes events with their time and returns actions; it uses no I/O, clock or thread.
/// Memory is bounded: for each type, one version that runs and one that waits for another type.
///
/// Invariants, checked by tests/version_tracker_test.cpp and model/versions.pml:
///  - each running version was accepted as a whole, and the types are valid together;
///  - no older generation replaces a newer one without a rollback that names the newest;
///  - after the loss of the stream, an attempt to connect follows within `max_reconnect_backoff`;
///  - each response of a stream is acknowledged or rejected at most once, and exactly once if the
///    stream lasts for `dependency_timeout`.
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
  /// Time for which a response waits for another type that it refers to.
  Duration dependency_timeout = 3s;
  /// Shortest time between two ApplyConfiguration actions that responses cause.
  Duration apply_interval = 50ms;
  std::uint64_t seed = 1;
};

/// The caller passes times that never decrease, and performs the appended actions in their order.
class VersionTracker {
public:
  VersionTracker(TrackerSettings settings, Validator validator);

  /// Sets the versions that run first. Call it before `start`.
  void set_file_versions(FileVersions versions);

  /// Replaces the file's versions by those of a snapshot that are at least as new: all of them, or
  /// none if the result is not valid. Call it after `set_file_versions` and before `start`.
  [[nodiscard]] std::optional<ValidationError> restore_snapshot(SnapshotVersions snapshot);

  /// Applies the current versions and connects.
  void start(TimePoint now, Actions& actions);

  /// Replaces the versions by those of the operators' file, which was read again: each one of the
  /// file, and one of a control service only if the file's generation is newer. Changes nothing on
  /// an error.
  [[nodiscard]] std::optional<ValidationError>
  replace_file_versions(TimePoint now, FileVersions versions, Actions& actions);

  /// Replaces the settings. A change of addresses ends the stream.
  void update_settings(TimePoint now, TrackerSettings settings, Actions& actions);

  void on_stream_opened(TimePoint now, Actions& actions);

  /// Reports that bytes of any kind arrived from the control service.
  void on_bytes_received(TimePoint now);

  void on_response(TimePoint now, const DiscoveryResponse& response, Actions& actions);
  void on_stream_lost(TimePoint now, const StreamError& error, Actions& actions);

  /// Call it at `next_deadline`, or at any other time.
  void on_timer(TimePoint now, Actions& actions);

  /// The next time at which `on_timer` has an effect, or `kNever`.
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

  /// Replaces the versions of the given types by those of the file; returns whether the content of
  /// one of them differs.
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
  /// The version of each type that was last acknowledged to the control service, on any stream.
  std::array<std::string, kResourceTypeCount> acknowledged_versions_;
  PendingResponses pending_;
  ApplyScheduler apply_scheduler_;
};

}  // namespace gorsebeam::config_versions
