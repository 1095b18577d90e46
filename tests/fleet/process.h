/// A simulated process that can be killed, started again, stalled (SIGSTOP, a long pause) and
/// woken.
#pragma once

#include "virtual_time.h"

#include <cstdint>
#include <vector>

namespace gorsebeam::simulation {

class Process {
public:
  explicit Process(EventQueue& queue) : queue_(queue) {}

  [[nodiscard]] bool is_alive() const { return is_alive_; }

  /// Counts starts, from 1.
  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }

  void start();
  void kill();
  void stall();
  void wake();

  /// Runs the callback at that time, or as soon as the process wakes. What belongs to an earlier
  /// incarnation, or to a dead process, is dropped.
  void schedule(TimePoint at, Callback callback);

private:
  EventQueue& queue_;
  bool is_alive_ = false;
  bool is_stalled_ = false;
  std::uint64_t incarnation_ = 0;
  std::vector<Callback> deferred_;  ///< While stalled.
};

}  // namespace gorsebeam::simulation
