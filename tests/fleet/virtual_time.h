/// Virtual time: a queue of events in order of true time, a seeded random source, and clocks that
/// deviate from true time.
#pragma once

#include "leases/messages.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace gorsebeam::simulation {

using Callback = std::function<void()>;

class Random {
public:
  explicit Random(std::uint64_t seed) : generator_(seed) {}

  std::uint64_t next() { return generator_(); }

  /// Draws a number uniformly; both bounds are included.
  std::int64_t between(std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least, most)(generator_);
  }

  bool draw_bool(double probability) {
    return std::uniform_real_distribution<>(0, 1)(generator_) < probability;
  }

private:
  std::mt19937_64 generator_;
};

/// Events of the same time run in the order in which they were scheduled.
class EventQueue {
public:
  [[nodiscard]] TimePoint now() const { return now_; }

  /// Runs the callback at the time `at`, or at the current time if `at` is in the past.
  void schedule(TimePoint at, Callback callback);
  void run_until(TimePoint end);

private:
  struct Event {
    TimePoint at{};
    std::uint64_t order = 0;
    Callback callback;

    // The top of a priority queue is its greatest element, so an earlier event compares as greater.
    bool operator<(const Event& other) const {
      return at != other.at ? other.at < at : other.order < order;
    }
  };

  std::priority_queue<Event> events_;
  std::uint64_t next_order_ = 0;
  TimePoint now_{};
};

/// A clock that shows `offset` plus `rate` times the true time.
struct SimulatedClock {
  double rate = 1;
  Duration offset{};

  [[nodiscard]] TimePoint local_time(TimePoint true_time) const;
  /// The true time at which an event loop that waits for `local` wakes: slightly late, never early.
  [[nodiscard]] TimePoint wake_time(TimePoint local) const;
};

}  // namespace gorsebeam::simulation
