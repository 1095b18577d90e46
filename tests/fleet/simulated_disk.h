/// A disk that writes states atomically and in order, each after a random time; a crash leaves the
/// newest state whose write has finished.
#pragma once

#include "process.h"
#include "raft/persistent_state.h"
#include "virtual_time.h"

#include <functional>
#include <optional>

namespace gorsebeam::simulation {

enum class WriteResult { Persisted, Failed };

class SimulatedDisk {
public:
  SimulatedDisk(EventQueue& queue, Random& random) : queue_(queue), random_(random) {}

  [[nodiscard]] const std::optional<raft::PersistentState>& content() const { return content_; }

  /// Starts a write for the process's current incarnation and reports the result to it. The write
  /// also finishes if the process is stalled; it is lost if the process dies before it finishes.
  void write(Process& process, const raft::PersistentState& state,
             const std::function<void(WriteResult)>& on_done);

  void start_failing() { next_result_ = WriteResult::Failed; }

  void stop_failing() { next_result_ = WriteResult::Persisted; }

  void wipe() { content_.reset(); }

private:
  EventQueue& queue_;
  Random& random_;
  std::optional<raft::PersistentState> content_;
  WriteResult next_result_ = WriteResult::Persisted;
  TimePoint busy_until_{};
};

}  // namespace gorsebeam::simulation
