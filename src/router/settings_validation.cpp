#include "router/settings_validation.h"

#include <stdexcept>
#include <string>

namespace gorsebeam::router {
namespace {

[[noreturn]] void throw_invalid(const std::string& message) {
  throw std::invalid_argument("gorsebeam settings: " + message);
}

void validate_class(const RequestClass& request_class) {
  const std::string path = "classes." + request_class.name;
  if (request_class.latency_objective <= 0ms)
    throw_invalid(path + ".latency_objective is " +
                  std::to_string(request_class.latency_objective.count()) +
                  " ns, which is not above zero");
  if (request_class.max_staleness < 0ms)
    throw_invalid(path + ".max_staleness is " +
                  std::to_string(request_class.max_staleness.count()) + " ns, which is below zero");
  if (request_class.deadline < request_class.latency_objective)
    throw_invalid(path + ".deadline, " + std::to_string(request_class.deadline.count()) +
                  " ns, is before its latency_objective, " +
                  std::to_string(request_class.latency_objective.count()) + " ns");
}

}  // namespace

void validate_settings(const Settings& settings) {
  if (settings.classes.empty())
    throw_invalid("classes is empty; at least one class is needed");
  for (const RequestClass& request_class : settings.classes)
    validate_class(request_class);
  if (settings.max_attempts < 1)
    throw_invalid("max_attempts is " + std::to_string(settings.max_attempts) +
                  ", which is below one");
  if (settings.slow_start_initial_capacity <= 0 || settings.slow_start_initial_capacity > 1)
    throw_invalid("slow_start_initial_capacity is " +
                  std::to_string(settings.slow_start_initial_capacity) +
                  ", which is not within (0, 1]");
}

}  // namespace gorsebeam::router
