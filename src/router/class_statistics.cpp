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

double ClassStatistics::mean_typical_latency() const {
  // Each class counts as one recent request more, so that the sum is never empty.
  double count = 0;
  double sum = 0;
  for (const Row& row : rows_) {
    count += row.traffic + 1;
    sum += (row.traffic + 1) * row.typical_latency;
  }
  return sum / count;
}

void ClassStatistics::record_answer(std::size_t class_index, double elapsed) {
  Row& row = rows_.at(class_index);
  row.typical_latency *= elapsed > row.typical_latency ? 1 + kStep : 1 - kStep;
}

void ClassStatistics::record_overdue(std::size_t class_index) {
  rows_.at(class_index).typical_latency *= 1 + kStep;
}

}  // namespace gorsebeam::router
