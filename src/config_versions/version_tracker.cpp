#include "version_tracker.h"

#include "generation_order.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace gorsebeam::config_versions {
namespace {

ResponseIdentity identity_of(const DiscoveryResponse& response) {
  return {response.type, response.version, response.nonce};
}

bool matches_running(const DiscoveryResponse& response, const Version& running) {
  return response.generation == running.generation && response.content_hash == running.content_hash;
}

}  // namespace

VersionTracker::VersionTracker(TrackerSettings settings, Validator validator)
    : settings_(std::move(settings)), validator_(std::move(validator)),
      stream_(settings_.stream, settings_.seed) {}

Bodies VersionTracker::running_bodies() const {
  Bodies bodies;
  for (std::size_t i = 0; i < kResourceTypeCount; ++i)
    bodies[i] = accepted_[i].running.body;
  return bodies;
}

// ---- Versions of the operators' file and of a snapshot

void VersionTracker::set_file_versions(FileVersions versions) {
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    accepted_[i].newest_generation = versions[i].generation;
    accepted_[i].running = std::move(versions[i]);
  }
}

std::optional<ValidationError> VersionTracker::restore_snapshot(SnapshotVersions snapshot) {
  Bodies bodies = running_bodies();
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    std::optional<AcceptedVersion>& restored = snapshot[i];
    if (restored && restored->newest_generation < accepted_[i].newest_generation)
      restored.reset();
    if (restored)
      bodies[i] = restored->running.body;
  }
  if (auto error = validator_(bodies))
    return error;
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    if (!snapshot[i])
      continue;
    acknowledged_versions_[i] = snapshot[i]->running.version;
    accepted_[i] = std::move(*snapshot[i]);
  }
  return std::nullopt;
}

void VersionTracker::start(TimePoint now, Actions& actions) {
  // No WriteSnapshot: the snapshot on disk already holds the versions that are applied here.
  actions.emplace_back(apply_scheduler_.apply(now, accepted_));
  stream_.start(now, actions);
}

std::optional<ValidationError>
VersionTracker::replace_file_versions(TimePoint now, FileVersions versions, Actions& actions) {
  Bodies bodies = running_bodies();
  TypeSet replaced;
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    replaced[i] = accepted_[i].running.is_from_file() ||
                  versions[i].generation > accepted_[i].newest_generation;
    if (replaced[i])
      bodies[i] = versions[i].body;
  }
  if (auto error = validator_(bodies))
    return error;
  // The versions are applied at once, without regard to apply_interval, as an operator waits for
  // the result.
  if (replace_with_file_versions(now, std::move(versions), replaced))
    apply(now, actions);
  // Pending responses may have become valid with the new versions.
  accept_pending(now, actions);
  return std::nullopt;
}

bool VersionTracker::replace_with_file_versions(TimePoint now, FileVersions versions,
                                                TypeSet types) {
  bool content_changed = false;
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    if (!types[i])
      continue;
    AcceptedVersion& accepted = accepted_[i];
    if (accepted.running.content_hash != versions[i].content_hash)
      content_changed = true;
    accepted.newest_generation = std::max(accepted.newest_generation, versions[i].generation);
    accepted.running = std::move(versions[i]);
    accepted.running.accepted_at = now;
  }
  return content_changed;
}

void VersionTracker::update_settings(TimePoint now, TrackerSettings settings, Actions& actions) {
  settings_ = std::move(settings);
  stream_.update_settings(now, settings_.stream, actions);
  clear_pending_without_stream();
}

// ---- The stream

// A response cannot be answered after the end of its stream; the control service sends it again on
// the next stream.
void VersionTracker::clear_pending_without_stream() {
  if (!stream_.is_streaming())
    pending_.clear();
}

void VersionTracker::on_stream_opened(TimePoint now, Actions& actions) {
  if (!stream_.on_opened(now))
    return;
  for (const ResourceType type : kResourceTypes) {
    DiscoveryRequest subscription;
    subscription.type = type;
    subscription.version = acknowledged_version_of(type);
    actions.emplace_back(std::move(subscription));
  }
}

void VersionTracker::on_bytes_received(TimePoint now) {
  stream_.on_bytes_received(now);
}

void VersionTracker::on_stream_lost(TimePoint now, const StreamError& error, Actions& actions) {
  stream_.on_lost(now, error, actions);
  clear_pending_without_stream();
}

// ---- Responses

void VersionTracker::on_response(TimePoint now, const DiscoveryResponse& response,
                                 Actions& actions) {
  if (!stream_.is_streaming())
    return;
  stream_.on_bytes_received(now);
  actions.emplace_back(VersionReceived{identity_of(response)});
  if (!response.type)
    return reject(response,
                  {RejectionError::Code::UnknownResourceType,
                   "type " + response.type_url + " is not known here"},
                  actions);
  const ResourceType type = *response.type;
  reject_superseded(type, response, actions);
  if (response.error)
    return reject(response, *response.error, actions);
  const AcceptedVersion& accepted = accepted_of(type);
  if (response.generation != 0 && matches_running(response, accepted.running))
    return accept_running_content(type, response, actions);
  if (const auto error = check_generation_order(accepted, response))
    return reject(response, *error, actions);
  add_pending(now, response, actions);
}

// Accepts the response at once if it is valid with the running versions and the pending responses.
// Otherwise it stays pending if a later version of another type may make it valid; if not, it is
// rejected.
void VersionTracker::add_pending(TimePoint now, const DiscoveryResponse& response,
                                 Actions& actions) {
  const ResourceType type = *response.type;
  pending_.add({response, now + settings_.dependency_timeout, ""});
  accept_pending(now, actions);
  PendingResponse* pending = pending_.find(type);
  if (!pending)
    return;
  Bodies bodies = running_bodies();
  bodies[index_of(type)] = response.body;
  const auto error = validator_(bodies);
  if (error && error->code != ValidationError::Code::UnresolvedReference) {
    pending_.remove(type);
    return reject(response, {RejectionError::Code::InvalidContent, error->message}, actions);
  }
  pending->missing_reference = error ? error->message : "";
  actions.emplace_back(VersionPending{identity_of(response), pending->missing_reference});
}

// ---- Acceptance

// Accepts the largest set of pending responses that is valid with the running versions. All types
// of the set are replaced before any is applied, so that no invalid combination is applied.
void VersionTracker::accept_pending(TimePoint now, Actions& actions) {
  const TypeSet types = pending_.find_largest_valid_set(running_bodies(), validator_);
  bool content_changed = false;
  for (const ResourceType type : kResourceTypes) {
    if (!types[index_of(type)])
      continue;
    const DiscoveryResponse response = pending_.remove(type)->response;
    // A reload of the operators' file may have set the same content since the response arrived.
    if (matches_running(response, accepted_of(type).running)) {
      accept_running_content(type, response, actions);
      continue;
    }
    accept_new_content(now, type, response, actions);
    content_changed = true;
  }
  if (!content_changed)
    return;
  apply_scheduler_.request();
  if (apply_scheduler_.is_due(now, settings_.apply_interval))
    apply(now, actions);
}

void VersionTracker::accept_running_content(ResourceType type, const DiscoveryResponse& response,
                                            Actions& actions) {
  const bool was_from_file = accepted_of(type).running.is_from_file();
  record_accepted_version(type, response);
  // A snapshot holds only versions of a control service. The running version has just become one,
  // so the snapshot must be written although the content is unchanged.
  if (was_from_file)
    actions.emplace_back(WriteSnapshot{});
  acknowledge(type, response, "content unchanged", actions);
}

void VersionTracker::accept_new_content(TimePoint now, ResourceType type,
                                        const DiscoveryResponse& response, Actions& actions) {
  record_accepted_version(type, response);
  Version& running = accepted_of(type).running;
  running.body = response.body;
  running.content_hash = response.content_hash;
  running.accepted_at = now;
  acknowledge(type, response, "generation " + std::to_string(response.generation), actions);
}

// Sets the generation, version and source of the running version to those of an accepted response.
void VersionTracker::record_accepted_version(ResourceType type, const DiscoveryResponse& response) {
  AcceptedVersion& accepted = accepted_of(type);
  accepted.newest_generation = std::max(accepted.newest_generation, response.generation);
  accepted.running.generation = response.generation;
  accepted.running.version = response.version;
  accepted.running.source = stream_.address();
  acknowledged_version_of(type) = response.version;
}

void VersionTracker::acknowledge(ResourceType type, const DiscoveryResponse& response,
                                 std::string detail, Actions& actions) {
  stream_.on_response_accepted(actions);
  actions.emplace_back(
      DiscoveryRequest{type, response.type_url, response.version, response.nonce, std::nullopt});
  actions.emplace_back(
      VersionAccepted{{type, response.version, response.nonce}, std::move(detail)});
}

// ---- Rejection

void VersionTracker::reject(const DiscoveryResponse& response, const RejectionError& error,
                            Actions& actions) {
  const std::string acknowledged =
      response.type ? acknowledged_version_of(*response.type) : std::string();
  actions.emplace_back(
      DiscoveryRequest{response.type, response.type_url, acknowledged, response.nonce, error});
  actions.emplace_back(VersionRejected{identity_of(response), error.message});
}

void VersionTracker::reject_superseded(ResourceType type, const DiscoveryResponse& successor,
                                       Actions& actions) {
  const std::optional<PendingResponse> superseded = pending_.remove(type);
  if (!superseded)
    return;
  reject(superseded->response,
         {RejectionError::Code::Superseded,
          "version " + successor.version +
              " came before what it refers to: " + superseded->missing_reference},
         actions);
}

void VersionTracker::reject_expired(TimePoint now, Actions& actions) {
  for (const PendingResponse& expired : pending_.remove_expired(now))
    reject(expired.response,
           {RejectionError::Code::DependencyTimeout,
            expired.missing_reference + "; nothing brought it in time"},
           actions);
}

// ---- Time

void VersionTracker::apply(TimePoint now, Actions& actions) {
  actions.emplace_back(apply_scheduler_.apply(now, accepted_));
  actions.emplace_back(WriteSnapshot{});
}

TimePoint VersionTracker::next_deadline() const {
  return std::min({stream_.next_deadline(), pending_.next_deadline(),
                   apply_scheduler_.next_deadline(settings_.apply_interval)});
}

void VersionTracker::on_timer(TimePoint now, Actions& actions) {
  if (apply_scheduler_.is_due(now, settings_.apply_interval))
    apply(now, actions);
  reject_expired(now, actions);
  stream_.on_timer(now, actions);
  clear_pending_without_stream();
}

}  // namespace gorsebeam::config_versions
