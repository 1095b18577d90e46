#include "process.h"

#include <utility>

namespace gorsebeam::simulation {

void Process::start() {
  ++incarnation_;
  is_alive_ = true;
  is_stalled_ = false;
  deferred_.clear();
}

void Process::kill() {
  is_alive_ = false;
}

void Process::stall() {
  is_stalled_ = is_alive_;
}

void Process::wake() {
  is_stalled_ = false;
  const std::vector<Callback> deferred = std::exchange(deferred_, {});
  for (const Callback& callback : deferred)
    schedule(queue_.now(), callback);
}

void Process::schedule(TimePoint at, Callback callback) {
  queue_.schedule(at, [this, incarnation = incarnation_, callback = std::move(callback)] {
    if (!is_alive_ || incarnation_ != incarnation)
      return;
    if (is_stalled_)
      deferred_.push_back(callback);
    else
      callback();
  });
}

}  // namespace gorsebeam::simulation
