// Runs every short sequence of events on the version tracker, and checks the invariants that are
// listed in version_tracker.h after each event.

#include "config_versions/version_tracker.h"

#include "version_tracker_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace gorsebeam::config_versions {
namespace {

enum class Event {
  Open,
  Lose,
  Advance,
  SendContracts1,
  SendContracts2,
  SendContractsRollback,
  SendMembers1,
  SendMembers2,
  SendInvalidMembers,
};
constexpr int kEventCount = 9;
using History = std::vector<Event>;

/// Runs one history on a tracker and checks the invariants after each event.
class CheckedHistory {
public:
  CheckedHistory() {
    settings_.stream.addresses = {"a0", "a1"};
    tracker_ = std::make_unique<VersionTracker>(settings_, validate_reference);
    tracker_->set_file_versions(make_file_versions());
  }

  void run(const History& history) {
    tracker_->start(now_, actions_);
    check();
    for (const Event event : history) {
      apply(event);
      check();
      if (::testing::Test::HasFatalFailure())
        return;
    }
    check_all_answered();
  }

private:
  void apply(Event event) {
    switch (event) {
    case Event::Open:
      return tracker_->on_stream_opened(now_, actions_);
    case Event::Lose:
      return tracker_->on_stream_lost(now_, {StreamError::Code::Disconnected, "reset"}, actions_);
    case Event::Advance:
      return advance_to(std::min(tracker_->next_deadline(), now_ + 1000ms));
    case Event::SendContracts1:
      return send(make_response(ResourceType::Contracts, 1, 1));
    case Event::SendContracts2:
      return send(make_response(ResourceType::Contracts, 2, 2));
    case Event::SendContractsRollback:
      return send(make_response(ResourceType::Contracts, 1, 1, 2));
    case Event::SendMembers1:
      return send(make_response(ResourceType::Members, 1, 1));
    case Event::SendMembers2:
      return send(make_response(ResourceType::Members, 2, 2));
    case Event::SendInvalidMembers:
      return send(make_invalid_response(ResourceType::Members, 3, 0, "bad"));
    }
  }

  void advance_to(TimePoint time) {
    now_ = std::max(now_, time);
    tracker_->on_timer(now_, actions_);
  }

  void send(const DiscoveryResponse& response) {
    if (tracker_->is_streaming()) {
      unanswered_.insert(response.nonce);
      responses_[response.nonce] = response;
    }
    tracker_->on_response(now_, response, actions_);
  }

  void check() {
    for (const Action& action : actions_) {
      if (const auto* request = std::get_if<DiscoveryRequest>(&action))
        check_answer(*request);
      if (const auto* applied = std::get_if<ApplyConfiguration>(&action)) {
        ASSERT_FALSE(validate_reference(applied->bodies))
            << "applied bodies that are not valid together";
      }
    }
    actions_.clear();
    ASSERT_FALSE(validate_reference({tracker_->accepted(ResourceType::Contracts).running.body,
                                     tracker_->accepted(ResourceType::Members).running.body,
                                     tracker_->accepted(ResourceType::Limits).running.body}))
        << "accepted versions that are not valid together";
    if (tracker_->is_streaming())
      return;
    unanswered_.clear();
    ASSERT_LE(tracker_->next_deadline(), now_ + settings_.stream.max_reconnect_backoff)
        << "does not try to reconnect within max_reconnect_backoff";
  }

  void check_answer(const DiscoveryRequest& request) {
    if (request.nonce.empty())
      return;
    ASSERT_TRUE(unanswered_.count(request.nonce))
        << "nonce " << request.nonce << " was answered twice, or on another stream";
    unanswered_.erase(request.nonce);
    if (request.error)
      return;
    const DiscoveryResponse& response = responses_.at(request.nonce);
    const std::size_t type = index_of(*response.type);
    ASSERT_TRUE(response.generation >= newest_[type] || response.rolls_back >= newest_[type] ||
                response.generation == running_[type])
        << "accepted generation " << response.generation << ", which is older than "
        << newest_[type] << ", without a rollback that names the newest";
    newest_[type] = std::max(newest_[type], response.generation);
    running_[type] = response.generation;
  }

  // Checks that each response has been answered if its stream lasts long enough.
  void check_all_answered() {
    for (int i = 0; i < 4 && tracker_->is_streaming(); ++i) {
      tracker_->on_bytes_received(now_);
      advance_to(now_ + settings_.dependency_timeout);
      check();
    }
    if (tracker_->is_streaming()) {
      ASSERT_TRUE(unanswered_.empty())
          << "the response with nonce " << *unanswered_.begin() << " was never answered";
    }
  }

  TrackerSettings settings_;
  std::unique_ptr<VersionTracker> tracker_;
  Actions actions_;
  TimePoint now_{1000ms};
  /// The nonces of the current stream's responses that have no answer yet.
  std::set<std::string> unanswered_;
  std::map<std::string, DiscoveryResponse> responses_;
  std::array<std::uint64_t, kResourceTypeCount> newest_{};
  std::array<std::uint64_t, kResourceTypeCount> running_{};
};

std::string describe(const History& history) {
  std::string text;
  for (const Event event : history)
    text += std::to_string(static_cast<int>(event)) + " ";
  return text;
}

/// Runs every history that begins with `prefix` and has at most `depth` events. Returns the number
/// of histories.
std::size_t run_all_histories(const History& prefix, std::size_t depth) {
  {
    SCOPED_TRACE("events " + describe(prefix));
    CheckedHistory().run(prefix);
  }
  std::size_t count = 1;
  if (prefix.size() == depth)
    return count;
  for (int event = 0; event < kEventCount; ++event) {
    History longer = prefix;
    longer.push_back(static_cast<Event>(event));
    count += run_all_histories(longer, depth);
  }
  return count;
}

TEST(VersionTrackerHistories, KeepTheInvariantsInEverySequenceOfEvents) {
  // The long histories begin with an open stream, as most events do nothing without one.
  EXPECT_EQ(run_all_histories({Event::Open}, 6), 66430U);
  run_all_histories({}, 3);
}

}  // namespace
}  // namespace gorsebeam::config_versions
