#include "request_admission.h"

#include <utility>

namespace gorsebeam::frontend {

void RequestAdmission::set_team(std::string team) {
  team_ = std::move(team);
}

RequestClasses RequestAdmission::classes() const {
  return {contracts_.classes(), settings_.classes};
}

std::optional<std::string> RequestAdmission::missing_contract() const {
  if (contracts_.has_team(team_))
    return std::nullopt;
  return "no contract with the team '" + team_ + "'";
}

common::Result<Request, proxy::ContractEnforcer::Decision>
RequestAdmission::admit(ParsedRequest parsed, TimePoint arrival, TimePoint now) {
  using Decision = proxy::ContractEnforcer::Decision;
  Request request = std::move(parsed.request);
  request.deadline = arrival + parsed.time_limit;
  const Decision decision = contracts_.admit(team_, now, request);
  if (decision != Decision::Admitted)
    return decision;
  if (parsed.is_single_attempt)
    request.max_attempts = 1;
  return request;
}

}  // namespace gorsebeam::frontend
