#include "simulated_network.h"

namespace gorsebeam::simulation {
namespace {

constexpr double kLossProbability = 0.02;
constexpr double kDuplicationProbability = 0.02;
constexpr double kLongDelayProbability = 0.05;

}  // namespace

TimePoint SimulatedNetwork::draw_arrival() {
  if (draw_fault(kLongDelayProbability))
    return queue_.now() + std::chrono::milliseconds(random_.between(1, 600));
  return queue_.now() + std::chrono::microseconds(random_.between(200, 5000));
}

void SimulatedNetwork::deliver_at(TimePoint at, Process& receiver, const Callback& deliver) {
  queue_.schedule(at, [this, &receiver, deliver] {
    receiver.schedule(queue_.now(), deliver);
  });
}

void SimulatedNetwork::send(int from, int to, Process& receiver, const Callback& deliver) {
  if (cut_links_.count({from, to}) > 0 || draw_fault(kLossProbability))
    return;
  if (draw_fault(kDuplicationProbability))
    deliver_at(draw_arrival(), receiver, deliver);
  deliver_at(draw_arrival(), receiver, deliver);
}

void SimulatedNetwork::send_bypassing_links(const Callback& deliver) {
  if (draw_fault(kLossProbability))
    return;
  queue_.schedule(draw_arrival(), deliver);
}

void SimulatedNetwork::cut(int from, int to) {
  cut_links_.insert({from, to});
}

void SimulatedNetwork::heal(int from, int to) {
  cut_links_.erase({from, to});
}

}  // namespace gorsebeam::simulation
