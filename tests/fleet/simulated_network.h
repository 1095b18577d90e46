/// A network that loses, delays, reorders and duplicates messages; each direction between two
/// gateways can be cut.
#pragma once

#include "process.h"
#include "virtual_time.h"

#include <set>
#include <utility>

namespace gorsebeam::simulation {

class SimulatedNetwork {
public:
  /// From `faults_end` on, messages are not lost or duplicated, and delays are short.
  SimulatedNetwork(EventQueue& queue, Random& random, TimePoint faults_end)
      : queue_(queue), random_(random), faults_end_(faults_end) {}

  /// Sends a message between two gateways. The incarnation that runs when the message arrives gets
  /// it.
  void send(int from, int to, Process& receiver, const Callback& deliver);
  /// Sends a message to a receiver outside the fleet or to the sender itself. The message may be
  /// lost or delayed; cuts, duplication and the state of a process do not affect it.
  void send_bypassing_links(const Callback& deliver);
  void cut(int from, int to);
  void heal(int from, int to);

private:
  [[nodiscard]] bool has_faults() const { return queue_.now() < faults_end_; }

  bool draw_fault(double probability) { return has_faults() && random_.draw_bool(probability); }

  TimePoint draw_arrival();
  void deliver_at(TimePoint at, Process& receiver, const Callback& deliver);

  EventQueue& queue_;
  Random& random_;
  TimePoint faults_end_;
  std::set<std::pair<int, int>> cut_links_;
};

}  // namespace gorsebeam::simulation
