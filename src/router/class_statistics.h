/// Estimates the typical latency and the traffic of each request class.
#pragma once

#include "gorsebeam/settings.h"

#include <cstddef>
#include <vector>

namespace gorsebeam::router {

/// Holds one row for each request class, with the same index as in the settings.
class ClassStatistics {
public:
  explicit ClassStatistics(const std::vector<RequestClass>& classes);

  /// Records that a request of the class arrived.
  void record_request(std::size_t class_index);

  /// Records an answer that took `elapsed` nanoseconds.
  void record_answer(std::size_t class_index, double elapsed);

  /// Records that an attempt of the class is overdue, which counts as a slow answer.
  void record_overdue(std::size_t class_index);

  /// The estimated median latency in nanoseconds, with overdue attempts counted as slow answers.
  [[nodiscard]] double typical_latency(std::size_t class_index) const {
    return rows_.at(class_index).typical_latency;
  }

  /// The mean typical latency of recent requests in nanoseconds, or of all classes if there were
  /// none. Above 0.
  [[nodiscard]] double mean_typical_latency() const;

  /// The number of recent requests, in which older requests count less.
  [[nodiscard]] double traffic(std::size_t class_index) const {
    return rows_.at(class_index).traffic;
  }

private:
  struct Row {
    double typical_latency = 0;
    double traffic = 0;
  };

  std::vector<Row> rows_;
};

}  // namespace gorsebeam::router
