#include "contract_enforcer.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::proxy {

void ContractEnforcer::replace_contracts(std::shared_ptr<const ContractSet> contracts,
                                         TimePoint now) {
  contracts_ = std::move(contracts);
  buckets_.replace_rates(contracts_->rates, now);
}

bool ContractEnforcer::has_team(const std::string& team) const {
  return contracts_->teams.empty() || contracts_->teams.count(team) > 0;
}

ContractEnforcer::Decision ContractEnforcer::admit(const std::string& team, TimePoint now,
                                                   Request& request) {
  if (contracts_->teams.empty())
    return Decision::Admitted;
  const auto found = contracts_->teams.find(team);
  if (found == contracts_->teams.end())
    return Decision::UnknownTeam;
  const TeamContract& contract = found->second;
  const auto limits = contract.classes.find(request.class_index);
  if (limits == contract.classes.end())
    return Decision::ClassNotAllowed;
  if (!contract.groups.empty() && contract.groups.count(request.group) == 0)
    return Decision::GroupNotAllowed;
  request.max_attempts = limits->second.max_attempts;
  if (limits->second.max_deadline)
    request.deadline = std::min(request.deadline, now + *limits->second.max_deadline);
  request.rate_limit_retry_after = buckets_.try_acquire(team, now);
  return Decision::Admitted;
}

const char* describe(ContractEnforcer::Decision decision) {
  switch (decision) {
  case ContractEnforcer::Decision::Admitted:
    return "";
  case ContractEnforcer::Decision::UnknownTeam:
    return "the team has no contract any more";
  case ContractEnforcer::Decision::ClassNotAllowed:
    return "the team's contract does not hold this class";
  case ContractEnforcer::Decision::GroupNotAllowed:
    return "the team's contract does not hold this group";
  }
  return "";
}

}  // namespace gorsebeam::proxy
