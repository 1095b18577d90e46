/// A simulated process that can be killed, restarted, stalled (as by SIGSTOP) and woken (as by
/// SIGCONT).
#pragma once

#include "virtual_time.h"

#include <cstdint>
#include <vector>

namespace gorsebeam::simulation {

class Process {
public:
  explicit Process(EventQueue& queue) : queue_(queue) {}

  [[nodiscard]] bool is_alive() const { return is_alive_; }

  /// The number of starts so far.
  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }

  void start();
  void kill();
  void stall();
  void wake();

  /// Runs the callback at that time or, if the process is stalled then, as soon as it wakes.
  /// Callbacks of an earlier incarnation or of a dead process are dropped.
  void schedule(TimePoint at, Callback callback);

private:
  EventQueue& queue_;
  bool is_alive_ = false;
  bool is_stalled_ = false;
  std::uint64_t incarnation_ = 0;
  std::vector<Callback> deferred_;  ///< Callbacks that were due while the process was stalled.
};

}  // namespace gorsebeam::simulation
