/// Estimates the usual answer time and the traffic of each request class.
#pragma once

#include "gorsebeam/settings.h"

#include <cstddef>
#include <vector>

namespace gorsebeam::router {

/// One row for each class of the settings, with the same index.
class ClassStatistics {
public:
  explicit ClassStatistics(const std::vector<RequestClass>& classes);

  /// A request of the class came in.
  void record_request(std::size_t class_index);

  /// An answer arrived after `elapsed` nanoseconds.
  void record_answer(std::size_t class_index, double elapsed);

  /// An attempt is overdue; it counts as a long answer.
  void record_overdue(std::size_t class_index);

  /// The median answer time in nanoseconds, with overdue attempts counted as long.
  [[nodiscard]] double typical_latency(std::size_t class_index) const {
    return rows_.at(class_index).typical_latency;
  }

  /// Recent requests, older ones counting less: the class's share of this router's traffic.
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
