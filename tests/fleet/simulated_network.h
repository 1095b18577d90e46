/// A network that loses, delays, reorders and duplicates messages, and that can be cut in each
/// direction between two gateways.
#pragma once

#include "process.h"
#include "virtual_time.h"

#include <set>
#include <utility>

namespace gorsebeam::simulation {

class SimulatedNetwork {
public:
  /// From `faults_end` on, messages are neither lost, duplicated nor much delayed.
  SimulatedNetwork(EventQueue& queue, Random& random, TimePoint faults_end)
      : queue_(queue), random_(random), faults_end_(faults_end) {}

  /// Between two gateways; delivered to whichever incarnation then runs.
  void send(int from, int to, Process& receiver, const Callback& deliver);
  /// To a receiver outside the fleet, or to the sender itself: not subject to cuts, duplication or
  /// the state of a process.
  void send_outside(const Callback& deliver);
  void cut(int from, int to);
  void heal(int from, int to);

private:
  [[nodiscard]] bool has_faults() const { return queue_.now() < faults_end_; }

  bool draw_fault(double probability) { return has_faults() && random_.chance(probability); }

  TimePoint draw_arrival();
  void deliver_at(TimePoint at, Process& receiver, const Callback& deliver);

  EventQueue& queue_;
  Random& random_;
  TimePoint faults_end_;
  std::set<std::pair<int, int>> cuts_;
};

}  // namespace gorsebeam::simulation
