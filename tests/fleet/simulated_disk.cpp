#include "simulated_disk.h"

#include <algorithm>

namespace gorsebeam::simulation {

void SimulatedDisk::write(Process& process, const raft::PersistentState& state,
                          const std::function<void(WriteResult)>& on_done) {
  const Duration duration = std::chrono::milliseconds(random_.between(1, 25));
  busy_until_ = std::max(busy_until_, queue_.now()) + duration;
  const WriteResult result = next_result_;
  const std::uint64_t incarnation = process.incarnation();
  queue_.schedule(busy_until_, [this, &process, incarnation, state, result, on_done] {
    if (!process.is_alive() || process.incarnation() != incarnation)
      return;
    if (result == WriteResult::Persisted)
      content_ = state;
    process.schedule(queue_.now(), [on_done, result] {
      on_done(result);
    });
  });
}

}  // namespace gorsebeam::simulation
