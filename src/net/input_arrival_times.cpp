#include "input_arrival_times.h"

#include <algorithm>
#include <iterator>

namespace gorsebeam::net {
namespace {

constexpr std::size_t kMaxRuns = 8;
// Bytes whose earliest arrivals differ by less count as arrived at the earlier one.
constexpr Duration kTimeResolution = 5ms;

}  // namespace

void InputArrivalTimes::append(std::size_t size, TimePoint earliest_arrival) {
  const bool joins_last =
      !runs_.empty() && earliest_arrival < runs_.back().earliest_arrival + kTimeResolution;
  if (joins_last) {
    runs_.back().size += size;
    return;
  }
  runs_.push_back({size, earliest_arrival});
  if (runs_.size() > kMaxRuns)
    merge_closest_runs();
}

void InputArrivalTimes::merge_closest_runs() {
  std::size_t closest = 1;
  const auto distance = [this](std::size_t index) {
    return runs_[index].earliest_arrival - runs_[index - 1].earliest_arrival;
  };
  for (std::size_t i = 2; i < runs_.size(); ++i) {
    if (distance(i) < distance(closest))
      closest = i;
  }
  runs_[closest - 1].size += runs_[closest].size;
  runs_.erase(std::next(runs_.begin(), static_cast<std::ptrdiff_t>(closest)));
}

void InputArrivalTimes::consume(std::size_t size) {
  auto first_kept = runs_.begin();
  while (first_kept != runs_.end() && first_kept->size <= size) {
    size -= first_kept->size;
    ++first_kept;
  }
  if (first_kept != runs_.end())
    first_kept->size -= size;
  runs_.erase(runs_.begin(), first_kept);
}

TimePoint InputArrivalTimes::earliest_arrival_of(std::size_t offset) const {
  for (const Run& run : runs_) {
    if (offset < run.size)
      return run.earliest_arrival;
    offset -= run.size;
  }
  return runs_.empty() ? TimePoint{} : runs_.back().earliest_arrival;
}

}  // namespace gorsebeam::net
