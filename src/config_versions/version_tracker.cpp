#include "version_tracker.h"

#include "generation_order.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::config_versions {
namespace {

// Every set of types, the largest first.
constexpr std::array<unsigned, 7> kTypeSetsLargestFirst = {0b111, 0b011, 0b101, 0b110,
                                                           0b001, 0b010, 0b100};
static_assert(kResourceTypeCount == 3, "the sets above are those of three types");

bool contains(unsigned types, std::size_t index) {
  return ((types >> index) & 1U) != 0;
}

ResponseIdentity identity_of(const DiscoveryResponse& response) {
  return {response.type, response.version, response.nonce};
}

bool is_running(const Version& running, const DiscoveryResponse& response) {
  return response.generation == running.generation && response.content_hash == running.content_hash;
}

void acknowledge(ResourceType type, const DiscoveryResponse& response, std::string detail,
                 Actions& actions) {
  actions.emplace_back(
      DiscoveryRequest{type, response.type_url, response.version, response.nonce, std::nullopt});
  actions.emplace_back(
      VersionAccepted{{type, response.version, response.nonce}, std::move(detail)});
}

}  // namespace

VersionTracker::VersionTracker(Settings settings, Validator validator)
    : settings_(std::move(settings)), validator_(std::move(validator)),
      stream_(settings_.stream, settings_.seed) {}

// ---- what runs

Bodies VersionTracker::running_bodies() const {
  Bodies bodies;
  for (std::size_t i = 0; i < kResourceTypeCount; ++i)
    bodies[i] = types_[i].accepted.running.body;
  return bodies;
}

void VersionTracker::set_file_versions(FileVersions versions) {
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    types_[i].accepted.newest_generation = versions[i].generation;
    types_[i].accepted.running = std::move(versions[i]);
  }
}

std::optional<ValidationError> VersionTracker::restore_snapshot(SnapshotVersions snapshot) {
  Bodies bodies = running_bodies();
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    std::optional<AcceptedVersion>& restored = snapshot[i];
    if (restored && restored->newest_generation < types_[i].accepted.newest_generation)
      restored.reset();
    if (restored)
      bodies[i] = restored->running.body;
  }
  if (auto error = validator_(bodies))
    return error;
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    if (!snapshot[i])
      continue;
    types_[i].acknowledged_version = snapshot[i]->running.version;
    types_[i].accepted = std::move(*snapshot[i]);
  }
  return std::nullopt;
}

void VersionTracker::start(TimePoint now, Actions& actions) {
  apply(now, actions);
  actions.pop_back();  // the snapshot on disk already holds this
  stream_.start(now, actions);
}

std::optional<ValidationError>
VersionTracker::replace_file_versions(TimePoint now, FileVersions versions, Actions& actions) {
  Bodies bodies = running_bodies();
  std::array<bool, kResourceTypeCount> replaces{};
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    const AcceptedVersion& accepted = types_[i].accepted;
    replaces[i] =
        accepted.running.is_from_file() || versions[i].generation > accepted.newest_generation;
    if (replaces[i])
      bodies[i] = versions[i].body;
  }
  if (auto error = validator_(bodies))
    return error;
  bool content_changed = false;
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    if (!replaces[i])
      continue;
    AcceptedVersion& accepted = types_[i].accepted;
    if (accepted.running.content_hash != versions[i].content_hash)
      content_changed = true;
    accepted.newest_generation = std::max(accepted.newest_generation, versions[i].generation);
    accepted.running = std::move(versions[i]);
    accepted.running.accepted_at = now;
  }
  // Not delayed by apply_interval: an operator waits for it.
  if (content_changed)
    apply(now, actions);
  // Pending responses may be valid with the new versions.
  accept_pending(now, actions);
  return std::nullopt;
}

void VersionTracker::update_settings(TimePoint now, Settings settings, Actions& actions) {
  settings_ = std::move(settings);
  stream_.update_settings(now, settings_.stream, actions);
  drop_pending_without_stream();
}

// ---- the stream

// Pending responses cannot be answered after their stream; the next stream sends them again.
void VersionTracker::drop_pending_without_stream() {
  if (stream_.is_streaming())
    return;
  for (TypeState& state : types_)
    state.pending.reset();
}

void VersionTracker::on_stream_opened(TimePoint now, Actions& actions) {
  if (!stream_.on_opened(now))
    return;
  for (const ResourceType type : kResourceTypes) {
    DiscoveryRequest subscription;
    subscription.type = type;
    subscription.version = state_of(type).acknowledged_version;
    actions.emplace_back(std::move(subscription));
  }
}

void VersionTracker::on_bytes_received(TimePoint now) {
  stream_.on_bytes_received(now);
}

void VersionTracker::on_stream_lost(TimePoint now, const StreamError& error, Actions& actions) {
  stream_.on_lost(now, error, actions);
  drop_pending_without_stream();
}

// ---- responses

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
  TypeState& state = state_of(*response.type);
  reject_superseded(state, response, actions);
  if (response.error)
    return reject(response, *response.error, actions);
  if (response.generation != 0 && is_running(state.accepted.running, response)) {
    // The same content: there is nothing to apply.
    static_cast<void>(accept(now, *response.type, response, actions));
    return;
  }
  if (const auto error = check_generation_order(state.accepted, response))
    return reject(response, *error, actions);
  wait_for_dependency(now, response, actions);
}

void VersionTracker::reject_superseded(TypeState& state, const DiscoveryResponse& successor,
                                       Actions& actions) {
  if (!state.pending)
    return;
  const PendingDependency superseded = std::move(*state.pending);
  state.pending.reset();
  reject(superseded.response,
         {RejectionError::Code::Superseded,
          "version " + successor.version + " came before what it refers to: " + superseded.missing},
         actions);
}

// Accepts the response at once if it is valid with what runs and what is pending; otherwise keeps
// it pending if another type may still bring what it refers to, or rejects it.
void VersionTracker::wait_for_dependency(TimePoint now, const DiscoveryResponse& response,
                                         Actions& actions) {
  TypeState& state = state_of(*response.type);
  state.pending = PendingDependency{response, now + settings_.dependency_timeout, ""};
  accept_pending(now, actions);
  if (!state.pending)
    return;
  Bodies bodies = running_bodies();
  bodies[index_of(*response.type)] = response.body;
  const auto error = validator_(bodies);
  if (error && error->code != ValidationError::Code::UnresolvedReference) {
    state.pending.reset();
    return reject(response, {RejectionError::Code::InvalidContent, error->message}, actions);
  }
  state.pending->missing = error ? error->message : "";
  actions.emplace_back(VersionPending{identity_of(response), state.pending->missing});
}

bool VersionTracker::is_pending(TypeSet types) const {
  for (std::size_t i = 0; i < kResourceTypeCount; ++i)
    if (contains(types, i) && !types_[i].pending)
      return false;
  return true;
}

Bodies VersionTracker::bodies_with_pending(TypeSet types) const {
  Bodies bodies = running_bodies();
  for (std::size_t i = 0; i < kResourceTypeCount; ++i)
    if (contains(types, i))
      bodies[i] = types_[i].pending->response.body;
  return bodies;
}

// Accepts the largest set of pending responses that is valid with what runs, as a whole.
void VersionTracker::accept_pending(TimePoint now, Actions& actions) {
  for (const TypeSet types : kTypeSetsLargestFirst) {
    if (!is_pending(types) || validator_(bodies_with_pending(types)))
      continue;
    // Applied only once all types of the set are in place.
    if (accept_all(now, types, actions))
      schedule_apply(now, actions);
    return;
  }
}

bool VersionTracker::accept_all(TimePoint now, TypeSet types, Actions& actions) {
  bool content_changed = false;
  for (const ResourceType type : kResourceTypes) {
    if (!contains(types, index_of(type)))
      continue;
    const DiscoveryResponse response = std::move(state_of(type).pending->response);
    state_of(type).pending.reset();
    if (accept(now, type, response, actions))
      content_changed = true;
  }
  return content_changed;
}

// Returns whether the content that runs has changed.
bool VersionTracker::accept(TimePoint now, ResourceType type, const DiscoveryResponse& response,
                            Actions& actions) {
  const bool content_changed = replace_running(now, state_of(type), response, actions);
  stream_.on_response_accepted(actions);
  std::string detail =
      content_changed ? "generation " + std::to_string(response.generation) : "the same as runs";
  acknowledge(type, response, std::move(detail), actions);
  return content_changed;
}

// Returns whether the content that runs has changed.
bool VersionTracker::replace_running(TimePoint now, TypeState& state,
                                     const DiscoveryResponse& response, Actions& actions) {
  Version& running = state.accepted.running;
  const bool content_changed = !is_running(running, response);
  const bool was_from_file = running.is_from_file();
  state.accepted.newest_generation =
      std::max(state.accepted.newest_generation, response.generation);
  state.acknowledged_version = response.version;
  running.generation = response.generation;
  running.version = response.version;
  running.source = stream_.address();
  if (content_changed) {
    running.body = response.body;
    running.content_hash = response.content_hash;
    running.accepted_at = now;
  } else if (was_from_file) {
    actions.emplace_back(WriteSnapshot{});
  }
  return content_changed;
}

void VersionTracker::reject(const DiscoveryResponse& response, const RejectionError& error,
                            Actions& actions) {
  const std::string running =
      response.type ? state_of(*response.type).acknowledged_version : std::string();
  actions.emplace_back(
      DiscoveryRequest{response.type, response.type_url, running, response.nonce, error});
  actions.emplace_back(VersionRejected{identity_of(response), error.message});
}

// ---- putting versions in force

// Responses of a burst are applied together: only the last of each type matters.
void VersionTracker::schedule_apply(TimePoint now, Actions& actions) {
  apply_pending_ = true;
  if (!last_applied_at_ || is_apply_due(now))
    apply(now, actions);
}

bool VersionTracker::is_apply_due(TimePoint now) const {
  return apply_pending_ &&
         now - last_applied_at_.value_or(TimePoint(-1ns)) >= settings_.apply_interval;
}

void VersionTracker::apply(TimePoint now, Actions& actions) {
  ApplyConfiguration configuration{running_bodies(), {}};
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    const std::uint64_t hash = types_[i].accepted.running.content_hash;
    configuration.changed[i] = !last_applied_at_ || hash != applied_hashes_[i];
    applied_hashes_[i] = hash;
  }
  apply_pending_ = false;
  last_applied_at_ = now;
  actions.emplace_back(std::move(configuration));
  actions.emplace_back(WriteSnapshot{});
}

// ---- time

TimePoint VersionTracker::next_deadline() const {
  TimePoint deadline = stream_.next_deadline();
  if (apply_pending_)
    deadline =
        std::min(deadline, last_applied_at_.value_or(TimePoint(-1ns)) + settings_.apply_interval);
  for (const TypeState& state : types_)
    if (state.pending)
      deadline = std::min(deadline, state.pending->deadline);
  return deadline;
}

void VersionTracker::on_timer(TimePoint now, Actions& actions) {
  if (is_apply_due(now))
    apply(now, actions);
  reject_expired(now, actions);
  stream_.on_timer(now, actions);
  drop_pending_without_stream();
}

void VersionTracker::reject_expired(TimePoint now, Actions& actions) {
  for (TypeState& state : types_) {
    if (!state.pending || now < state.pending->deadline)
      continue;
    const PendingDependency expired = std::move(*state.pending);
    state.pending.reset();
    reject(
        expired.response,
        {RejectionError::Code::DependencyTimeout, expired.missing + "; nothing brought it in time"},
        actions);
  }
}

}  // namespace gorsebeam::config_versions
