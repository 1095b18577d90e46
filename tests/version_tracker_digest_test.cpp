// Runs long random sequences of events on the version tracker, and compares a hash of its actions
// with a recorded value.

#include "config_versions/version_tracker.h"

#include "version_tracker_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace gorsebeam::config_versions {
namespace {

/// Hashes actions and states, field by field. The value changes if the tracker decides differently
/// or words a text differently; a change of names or structure in the code does not change it.
class ActionDigest {
public:
  [[nodiscard]] std::uint64_t value() const { return value_; }

  void add(std::uint64_t number) {
    for (int shift = 0; shift < 64; shift += 8)
      add_byte(static_cast<unsigned char>(number >> shift & 0xff));
  }

  void add(const std::string& text) {
    add(static_cast<std::uint64_t>(text.size()));
    for (const char character : text)
      add_byte(static_cast<unsigned char>(character));
  }

  void add(const std::optional<ResourceType>& type) {
    add(type ? static_cast<std::uint64_t>(*type) : std::uint64_t{99});
  }

  void add(const std::optional<ValidationError>& error) { add(error ? error->message : ""); }

  void add(const Action& action) {
    add(static_cast<std::uint64_t>(std::min(action.index(), kLogEventIndex)));
    if (action.index() >= kLogEventIndex)
      add(static_cast<std::uint64_t>(action.index() - kLogEventIndex));
    std::visit(
        [this](const auto& content) {
          add_fields(content);
        },
        action);
  }

  void add(const VersionTracker& tracker) {
    for (const ResourceType type : kResourceTypes) {
      const AcceptedVersion& accepted = tracker.accepted(type);
      add(accepted.newest_generation);
      add(static_cast<std::uint64_t>(value_of(accepted.running.body)));
      add(accepted.running.version);
      add(accepted.running.generation);
      add(accepted.running.content_hash);
      add(accepted.running.source);
      add(static_cast<std::uint64_t>(accepted.running.accepted_at.time_since_epoch().count()));
    }
    add(static_cast<std::uint64_t>(tracker.next_deadline().time_since_epoch().count()));
    add(static_cast<std::uint64_t>(tracker.is_streaming()));
    add(tracker.address());
  }

private:
  /// The index of the first log event in `Action`. The hash treats all log events as one kind of
  /// action, followed by the number of the event.
  static constexpr std::size_t kLogEventIndex = 6;

  void add_byte(unsigned char byte) {  // hash function FNV-1a
    value_ ^= byte;
    value_ *= 0x100000001b3ULL;
  }

  void add_fields(const OpenStream& action) { add(action.address); }

  void add_fields(const CloseStream&) {}

  void add_fields(const SendPing&) {}

  void add_fields(const DiscoveryRequest& request) {
    add(request.type);
    add(request.type_url);
    add(request.version);
    add(request.nonce);
    add(request.error ? request.error->message : "");
  }

  void add_fields(const ApplyConfiguration& action) {
    for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
      add(static_cast<std::uint64_t>(value_of(action.bodies[i])));
      add(static_cast<std::uint64_t>(action.changed[i]));
    }
  }

  void add_fields(const WriteSnapshot&) {}

  void add_fields(const StreamLost& event) { add_event({}, event.error); }

  void add_fields(const StreamRestored&) { add_event({}, ""); }

  void add_fields(const VersionReceived& event) { add_event(event.response, ""); }

  void add_fields(const VersionAccepted& event) { add_event(event.response, event.detail); }

  void add_fields(const VersionRejected& event) { add_event(event.response, event.error); }

  void add_fields(const VersionPending& event) { add_event(event.response, event.waiting_for); }

  void add_event(const ResponseIdentity& response, const std::string& text) {
    add(response.type);
    add(response.version);
    add(response.nonce);
    add(text);
  }

  std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

/// Runs random events on one tracker, and adds each action and the state after each event to the
/// digest.
class RandomHistory {
public:
  RandomHistory(std::uint64_t seed, ActionDigest& digest)
      : random_state_(seed + 1), digest_(digest) {
    settings_.seed = seed;
    for (std::uint64_t i = draw(4); i > 0; --i)
      settings_.stream.addresses.push_back("a" + std::to_string(i));
    tracker_ = std::make_unique<VersionTracker>(settings_, validate);
  }

  void run(int events) {
    tracker_->set_file_versions(draw_file());
    if (draw(2) == 0)
      digest_.add(tracker_->restore_snapshot(draw_snapshot()));
    tracker_->start(now_, actions_);
    record();
    for (int i = 0; i < events; ++i) {
      run_event();
      record();
    }
  }

private:
  // Validates like validate_reference, and in addition rejects limits above 6.
  static std::optional<ValidationError> validate(const Bodies& bodies) {
    if (value_of(bodies[2]) > 6)
      return ValidationError{ValidationError::Code::InvalidContent,
                             "limits " + std::to_string(value_of(bodies[2])) + " are too high"};
    return validate_reference(bodies);
  }

  std::uint64_t draw(std::uint64_t bound) {  // random number generator splitmix64
    random_state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = random_state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return (mixed ^ (mixed >> 31)) % bound;
  }

  Version draw_version() {
    Version version;
    const int content = static_cast<int>(draw(5));
    version.body = make_body(content);
    version.content_hash = static_cast<std::uint64_t>(content);
    version.generation = draw(2) == 0 ? 0 : draw(8);
    return version;
  }

  FileVersions draw_file() {
    FileVersions file;
    for (Version& version : file)
      version = draw_version();
    return file;
  }

  SnapshotVersions draw_snapshot() {
    SnapshotVersions snapshot;
    for (std::optional<AcceptedVersion>& accepted : snapshot) {
      if (draw(3) == 0)
        continue;
      accepted = AcceptedVersion{};
      accepted->running = draw_version();
      accepted->running.version = "s" + std::to_string(draw(9));
      accepted->running.source = "a1";
      accepted->newest_generation = accepted->running.generation + draw(2);
    }
    return snapshot;
  }

  DiscoveryResponse draw_response() {
    DiscoveryResponse drawn;
    const std::uint64_t type = draw(16);
    if (type < 15)
      drawn.type = static_cast<ResourceType>(type % kResourceTypeCount);
    drawn.type_url = "u" + std::to_string(type % kResourceTypeCount);
    drawn.nonce = "n" + std::to_string(++last_nonce_);
    drawn.version = "v" + std::to_string(draw(20));
    drawn.generation = next_generation_ + draw(4);
    if (draw(3) == 0)
      ++next_generation_;
    if (draw(5) == 0)
      drawn.rolls_back = next_generation_ + draw(4);
    const int content = static_cast<int>(draw(8));
    drawn.body = make_body(content);
    drawn.content_hash = static_cast<std::uint64_t>(content);
    if (draw(12) == 0)
      drawn.error =
          RejectionError{RejectionError::Code::InvalidResponse, "fault " + std::to_string(draw(5))};
    return drawn;
  }

  void run_event() {
    switch (draw(16)) {
    case 0:
    case 1:
    case 2:
      return tracker_->on_stream_opened(now_, actions_);
    case 3:
      return lose_stream();
    case 4:
      return tracker_->on_bytes_received(now_);
    case 5:
      digest_.add(tracker_->replace_file_versions(now_, draw_file(), actions_));
      return;
    case 6:
      return update_settings();
    case 7:
    case 8:
      now_ = std::max(now_, std::min(tracker_->next_deadline(), now_ + 60'000ms));
      return tracker_->on_timer(now_, actions_);
    case 9:
    case 10:
      now_ += std::chrono::milliseconds(draw(200));
      return tracker_->on_timer(now_, actions_);
    default:
      return tracker_->on_response(now_, draw_response(), actions_);
    }
  }

  void lose_stream() {
    const std::string error = "reset " + std::to_string(draw(3));
    tracker_->on_stream_lost(now_, {StreamError::Code::Disconnected, error}, actions_);
  }

  void update_settings() {
    if (draw(4) == 0) {
      const std::string address = "b" + std::to_string(draw(9));
      settings_.stream.addresses.assign(draw(3), address);
    }
    settings_.dependency_timeout = std::chrono::milliseconds(1000 + draw(3000));
    settings_.stream.keepalive_interval = std::chrono::milliseconds(5000 + draw(5000));
    tracker_->update_settings(now_, settings_, actions_);
  }

  void record() {
    for (const Action& action : actions_)
      digest_.add(action);
    actions_.clear();
    digest_.add(*tracker_);
  }

  std::uint64_t random_state_;
  ActionDigest& digest_;
  TrackerSettings settings_;
  std::unique_ptr<VersionTracker> tracker_;
  Actions actions_;
  TimePoint now_{1000ms};
  std::uint64_t last_nonce_ = 0;
  std::uint64_t next_generation_ = 0;
};

TEST(VersionTrackerHistories, ProduceTheRecordedActionsForRandomEvents) {
  constexpr std::uint64_t kSeeds = 2000;
  constexpr int kEventsPerSeed = 200;
  ActionDigest digest;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed)
    RandomHistory(seed, digest).run(kEventsPerSeed);
  // The recorded value. Only a change of the tracker's behaviour or texts may change it.
  EXPECT_EQ(digest.value(), 3559004318243852878U);
}

}  // namespace
}  // namespace gorsebeam::config_versions
