#include "router/class_statistics.h"

namespace gorsebeam::router {
namespace {

// The fraction by which a sample moves an estimate, so that about the last 50 samples count.
constexpr double kStep = 0.02;

// The first estimate of a class's typical latency is its latency objective divided by this.
constexpr double kInitialObjectiveDivisor = 5;

}  // namespace

ClassStatistics::ClassStatistics(const std::vector<RequestClass>& classes) {
  for (const RequestClass& request_class : classes) {
    const auto objective = to_double(request_class.latency_objective);
    rows_.push_back({objective / kInitialObjectiveDivisor, 0});
  }
}

void ClassStatistics::record_request(std::size_t class_index) {
  for (Row& row : rows_)
    row.traffic *= 1 - kStep;
  rows_.at(class_index).traffic += 1;
}

void ClassStatistics::record_answer(std::size_t class_index, double elapsed) {
  Row& row = rows_.at(class_index);
  row.typical_latency *= elapsed > row.typical_latency ? 1 + kStep : 1 - kStep;
}

void ClassStatistics::record_overdue(std::size_t class_index) {
  rows_.at(class_index).typical_latency *= 1 + kStep;
}

}  // namespace gorsebeam::router
