#include "overload_rule.h"

#include "endpoint_capacity.h"

#include <algorithm>

namespace fault_soak {

void OverloadRule::endpoint_started(int endpoint, Millis at) {
  endpoints_[endpoint] = Endpoint{};
  endpoints_[endpoint].started_at = at;
}

std::optional<std::string> OverloadRule::record_attempt(int endpoint, StartKnowledge knowledge,
                                                        Millis at) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end())
    return std::nullopt;
  Endpoint& state = found->second;
  const Millis age = at - state.started_at;
  if (age >= kSlowStartDuration || state.has_failed)
    return std::nullopt;
  state.window.push_back({at, knowledge});
  while (state.window.front().at <= at - kOverloadWindow)
    state.window.pop_front();
  const auto count = static_cast<double>(state.window.size());
  const auto notified = static_cast<double>(
      std::count_if(state.window.begin(), state.window.end(), [](const Attempt& attempt) {
        return attempt.knowledge == StartKnowledge::Notified;
      }));
  const bool is_binding = 3 * notified > 2 * count;
  const double limit = max_attempts_in_window(age);
  if (is_binding)
    highest_utilization_ = std::max(highest_utilization_, count / limit);
  if (count <= limit)
    return std::nullopt;
  state.has_failed = true;
  if (!is_binding)
    return std::nullopt;
  return "endpoint " + std::to_string(endpoint) + " got " + std::to_string(state.window.size()) +
         " attempts within " + std::to_string(kOverloadWindow) + " ms, " +
         std::to_string(state.window.size() - static_cast<std::size_t>(count - notified)) +
         " of them from gateways that had been notified of its start, " + std::to_string(age) +
         " ms after it; the limit is " + std::to_string(static_cast<int>(limit));
}

}  // namespace fault_soak
