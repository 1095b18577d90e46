#include "config_versions/version_tracker.h"

#include "version_tracker_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace gorsebeam::config_versions {
namespace {

/// What `deliver` and `answer_to` return for an ACK, and for a response without an answer.
constexpr const char* kAcknowledged = "";
constexpr const char* kUnanswered = "?";

/// Runs a tracker that validates with `validate_reference`, and collects its actions.
class VersionTrackerTest : public ::testing::Test {
protected:
  /// Makes a tracker with the given number of addresses, "a0", "a1" and so on.
  void create_tracker(std::size_t addresses) {
    for (std::size_t i = 0; i < addresses; ++i)
      settings_.stream.addresses.push_back("a" + std::to_string(i));
    tracker_ = std::make_unique<VersionTracker>(settings_, validate_reference);
    tracker_->set_file_versions(make_file_versions());
  }

  void start() { tracker_->start(now_, actions_); }

  void create_streaming_tracker() {
    create_tracker(2);
    start();
    tracker_->on_stream_opened(now_, actions_);
    actions_.clear();
  }

  void lose_stream(const std::string& error) {
    tracker_->on_stream_lost(now_, {StreamError::Code::Disconnected, error}, actions_);
  }

  void advance(Duration time) {
    now_ += time;
    tracker_->on_timer(now_, actions_);
  }

  /// Returns the actions of one type, and removes all actions.
  template <typename ActionType>
  std::vector<ActionType> drain() {
    std::vector<ActionType> found;
    for (const Action& action : actions_)
      if (const auto* typed = std::get_if<ActionType>(&action))
        found.push_back(*typed);
    actions_.clear();
    return found;
  }

  /// Delivers a response and returns its answer.
  std::string deliver(const DiscoveryResponse& response) {
    tracker_->on_response(now_, response, actions_);
    return answer_to(response);
  }

  /// Returns the error in the answer to a response if it is a NACK, otherwise `kAcknowledged` or
  /// `kUnanswered`. Expects at most one answer.
  std::string answer_to(const DiscoveryResponse& response) {
    std::string answer = kUnanswered;
    for (const Action& action : actions_) {
      const auto* request = std::get_if<DiscoveryRequest>(&action);
      if (!request || request->nonce != response.nonce)
        continue;
      EXPECT_EQ(answer, kUnanswered) << "response " << response.nonce << " was answered twice";
      answer = request->error ? request->error->message : kAcknowledged;
    }
    return answer;
  }

  [[nodiscard]] int running(ResourceType type) const {
    return value_of(tracker_->accepted(type).running.body);
  }

  TrackerSettings settings_;
  std::unique_ptr<VersionTracker> tracker_;
  Actions actions_;
  TimePoint now_{1000ms};
};

TEST_F(VersionTrackerTest, RejectsOlderGenerationsUnlessARollbackNamesTheNewest) {
  create_streaming_tracker();
  constexpr ResourceType kLimits = ResourceType::Limits;
  EXPECT_EQ(deliver(make_response(kLimits, 0, 1)), "it has no generation; number changes from 1");
  EXPECT_EQ(deliver(make_response(kLimits, 5, 1)), kAcknowledged);
  EXPECT_EQ(deliver(make_response(kLimits, 7, 2)), kAcknowledged);
  // A server sends the same response again, for example after a reconnection.
  EXPECT_EQ(deliver(make_response(kLimits, 7, 2)), kAcknowledged);
  EXPECT_EQ(deliver(make_response(kLimits, 7, 3)), "generation 7 came before with other content");
  EXPECT_EQ(deliver(make_response(kLimits, 5, 1)),
            "generation 5 is older than 7, the newest accepted");
  EXPECT_EQ(deliver(make_response(kLimits, 5, 1, 6)),
            "it rolls back generation 6, but 7 is the newest accepted");
  EXPECT_EQ(running(kLimits), 2);

  EXPECT_EQ(deliver(make_response(kLimits, 5, 1, 7)), kAcknowledged);
  EXPECT_EQ(tracker_->accepted(kLimits).newest_generation, 7U);
  // A server with outdated state may still send the generation that was rolled back.
  EXPECT_EQ(deliver(make_response(kLimits, 7, 2)), "generation 7 was rolled back");
  EXPECT_EQ(deliver(make_response(kLimits, 6, 4)),
            "generation 6 is older than 7, the newest accepted");
  EXPECT_EQ(deliver(make_response(kLimits, 5, 1)), kAcknowledged);
  EXPECT_EQ(deliver(make_response(kLimits, 8, 4)), kAcknowledged);
  advance(50ms);
  EXPECT_EQ(running(kLimits), 4);
}

TEST_F(VersionTrackerTest, AppliesTypesThatReferToEachOtherTogetherOrNotAtAll) {
  create_streaming_tracker();
  const DiscoveryResponse contracts = make_response(ResourceType::Contracts, 1, 3);
  const DiscoveryResponse members = make_response(ResourceType::Members, 1, 3);
  EXPECT_EQ(deliver(contracts), kUnanswered);  // the contracts wait for members
  EXPECT_TRUE(drain<ApplyConfiguration>().empty());

  tracker_->on_response(now_, members, actions_);
  EXPECT_EQ(answer_to(contracts), kAcknowledged);
  EXPECT_EQ(answer_to(members), kAcknowledged);
  advance(50ms);
  for (const ApplyConfiguration& applied : drain<ApplyConfiguration>()) {
    EXPECT_EQ(value_of(applied.bodies[0]), 3);
    EXPECT_EQ(value_of(applied.bodies[1]), 3);
  }
  EXPECT_EQ(running(ResourceType::Contracts), 3);
}

TEST_F(VersionTrackerTest, RejectsAfterATimeoutMembersThatRunningContractsStillNeed) {
  create_streaming_tracker();
  deliver(make_response(ResourceType::Contracts, 1, 3));
  deliver(make_response(ResourceType::Members, 1, 3));

  const DiscoveryResponse fewer_members = make_response(ResourceType::Members, 2, 1);
  EXPECT_EQ(deliver(fewer_members), kUnanswered);
  advance(settings_.dependency_timeout - 1ns);
  EXPECT_EQ(answer_to(fewer_members), kUnanswered);
  advance(1ns);
  EXPECT_EQ(answer_to(fewer_members), "group 3 has no member; nothing brought it in time");
  EXPECT_EQ(running(ResourceType::Members), 3);
}

TEST_F(VersionTrackerTest, RejectsAPendingResponseWhenTheNextOfItsTypeArrives) {
  create_streaming_tracker();
  deliver(make_response(ResourceType::Members, 1, 3));
  const DiscoveryResponse first = make_response(ResourceType::Contracts, 4, 8);
  const DiscoveryResponse second = make_response(ResourceType::Contracts, 5, 2);
  EXPECT_EQ(deliver(first), kUnanswered);
  EXPECT_EQ(deliver(second), kAcknowledged);
  EXPECT_NE(answer_to(first), kUnanswered);
  EXPECT_NE(answer_to(first), kAcknowledged);
}

TEST_F(VersionTrackerTest, RejectsInvalidResponsesAndKeepsWhatRuns) {
  create_streaming_tracker();
  EXPECT_EQ(deliver(make_response(ResourceType::Members, 1, 5)), kAcknowledged);
  const std::string error = "team[1].name: stands twice";
  EXPECT_EQ(deliver(make_invalid_response(ResourceType::Members, 2, 6, error)), error);
  DiscoveryResponse unknown = make_response(ResourceType::Members, 3, 6);
  unknown.type.reset();
  unknown.type_url = "other";
  EXPECT_EQ(deliver(unknown), "type other is not known here");
  EXPECT_EQ(running(ResourceType::Members), 5);
}

TEST_F(VersionTrackerTest, AppliesABurstTogetherAndAnswersEachResponse) {
  create_streaming_tracker();
  advance(100ms);
  actions_.clear();
  for (int i = 1; i <= 200; ++i) {
    const auto generation = static_cast<std::uint64_t>(i);
    EXPECT_EQ(deliver(make_response(ResourceType::Limits, generation, i)), kAcknowledged);
    advance(5ms);
  }
  advance(50ms);
  const std::vector<ApplyConfiguration> applied = drain<ApplyConfiguration>();
  EXPECT_LE(applied.size(), 22U);  // the events take 1 s, and apply_interval is 50 ms
  EXPECT_EQ(value_of(applied.back().bodies[2]), 200);
}

TEST_F(VersionTrackerTest, ConnectsToTheNextAddressAfterATimeoutAndPingsASilentService) {
  create_tracker(2);
  start();
  EXPECT_EQ(drain<OpenStream>().at(0).address, "a0");
  advance(settings_.stream.connect_timeout);
  EXPECT_EQ(drain<CloseStream>().size(), 1U);  // the connection was never established
  EXPECT_LE(tracker_->next_deadline(), now_ + settings_.stream.initial_reconnect_backoff);
  advance(tracker_->next_deadline() - now_);
  EXPECT_EQ(drain<OpenStream>().at(0).address, "a1");

  tracker_->on_stream_opened(now_, actions_);
  EXPECT_EQ(drain<DiscoveryRequest>().size(), kResourceTypeCount);
  advance(settings_.stream.keepalive_interval);
  EXPECT_EQ(drain<SendPing>().size(), 1U);
  tracker_->on_bytes_received(now_);  // the acknowledgement of the ping
  advance(settings_.stream.keepalive_interval);
  EXPECT_EQ(drain<SendPing>().size(), 1U);
  advance(settings_.stream.keepalive_interval);
  EXPECT_EQ(drain<CloseStream>().size(), 1U);
  EXPECT_FALSE(tracker_->is_streaming());
}

TEST_F(VersionTrackerTest, BacksOffWithFullJitterUntilAResponseIsAccepted) {
  create_tracker(1);
  start();
  Duration longest{};
  std::set<Duration> delays;
  for (int i = 0; i < 200; ++i) {
    lose_stream("refused");
    const Duration delay = tracker_->next_deadline() - now_;
    const Duration doubled =
        settings_.stream.initial_reconnect_backoff * (std::int64_t{1} << std::min(i, 20));
    EXPECT_LE(delay, std::min(settings_.stream.max_reconnect_backoff, doubled));
    longest = std::max(longest, delay);
    delays.insert(delay);
    advance(delay);
  }
  EXPECT_GT(longest, settings_.stream.max_reconnect_backoff / 2);
  EXPECT_GT(delays.size(), 150U);

  tracker_->on_stream_opened(now_, actions_);
  EXPECT_EQ(deliver(make_response(ResourceType::Limits, 1, 1)), kAcknowledged);
  lose_stream("reset");
  EXPECT_LE(tracker_->next_deadline() - now_, settings_.stream.initial_reconnect_backoff);
}

/// Makes a snapshot that holds only contracts, of generation 9. They are valid only with members
/// whose content is at least 4.
SnapshotVersions make_snapshot_of_contracts() {
  SnapshotVersions snapshot;
  AcceptedVersion& contracts = snapshot[0].emplace();
  contracts.running = make_file_versions(4)[0];
  contracts.running.generation = 9;
  contracts.running.version = "v9";
  contracts.running.source = "a0";
  contracts.newest_generation = 9;
  return snapshot;
}

/// Makes a snapshot that holds the contracts of make_snapshot_of_contracts, and members with which
/// they are valid.
SnapshotVersions make_complete_snapshot() {
  SnapshotVersions snapshot = make_snapshot_of_contracts();
  AcceptedVersion& members = snapshot[1].emplace();
  members.running = make_file_versions(0, 4)[1];
  members.running.source = "a0";
  members.newest_generation = 2;
  return snapshot;
}

TEST_F(VersionTrackerTest, RejectsASnapshotThatIsNotValidAsAWhole) {
  create_tracker(2);
  const auto error = tracker_->restore_snapshot(make_snapshot_of_contracts());
  EXPECT_EQ(error ? error->message : "", "group 4 has no member");
  EXPECT_EQ(running(ResourceType::Contracts), 0);
}

TEST_F(VersionTrackerTest, RestoresASnapshotAndRejectsWhatIsOlder) {
  create_tracker(2);
  EXPECT_FALSE(tracker_->restore_snapshot(make_complete_snapshot()));
  start();
  EXPECT_EQ(value_of(drain<ApplyConfiguration>().at(0).bodies[0]), 4);
  tracker_->on_stream_opened(now_, actions_);
  EXPECT_EQ(drain<DiscoveryRequest>().at(0).version, "v9");
  EXPECT_EQ(deliver(make_response(ResourceType::Contracts, 8, 1)),
            "generation 8 is older than 9, the newest accepted");
}

TEST_F(VersionTrackerTest, ReplacesPushedVersionsByTheFileOnlyWhereItIsNewer) {
  create_tracker(2);
  ASSERT_FALSE(tracker_->restore_snapshot(make_complete_snapshot()));
  start();
  FileVersions file = make_file_versions(1, 1);
  file[0].generation = 9;
  EXPECT_FALSE(tracker_->replace_file_versions(now_, file, actions_));
  EXPECT_EQ(running(ResourceType::Contracts), 4);
  file[0].generation = 10;
  file[1].generation = 3;
  EXPECT_FALSE(tracker_->replace_file_versions(now_, file, actions_));
  EXPECT_EQ(running(ResourceType::Contracts), 1);
}

TEST_F(VersionTrackerTest, ConnectsOnlyOnceAnAddressIsConfigured) {
  create_tracker(0);
  start();
  EXPECT_TRUE(drain<OpenStream>().empty());
  EXPECT_EQ(tracker_->next_deadline(), kNever);
  TrackerSettings settings;
  settings.stream.addresses = {"new"};
  tracker_->update_settings(now_, settings, actions_);
  EXPECT_EQ(drain<OpenStream>().at(0).address, "new");
}

}  // namespace
}  // namespace gorsebeam::config_versions
