// What each team may ask for: its classes, how long its requests may wait, how often they may be
// tried, and its rate.
#pragma once

#include "gorsebeam/router.h"
#include "rate_limit/token_buckets.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace gorsebeam::proxy {

struct ClassPolicy {
  Nanos deadline = 0;              // a request waits no longer; 0: as it asks
  std::uint32_t max_attempts = 0;  // tries at most; 0: as the settings have it
};

struct TeamContract {
  std::map<std::size_t, ClassPolicy> classes;  // by number in the settings
  std::set<GroupId> groups;                    // that it may ask; none: all
};

// The settings' classes by name, and the teams by theirs. Without any team every caller may ask for
// everything, as on the platform. Immutable once in force.
struct ContractSet {
  std::map<std::string, std::size_t> classes;
  std::map<std::string, TeamContract> teams;
  std::map<std::string, rate_limit::Rate> rates;
};

// The contracts in force, for all fronts. Replaced as a whole while requests are open; each keeps
// what it began with.
class ContractEnforcer {
public:
  enum class Decision { Admitted, UnknownTeam, ClassNotAllowed, GroupNotAllowed };

  void replace_contracts(std::shared_ptr<const ContractSet> contracts, Nanos now) {
    now_ = std::move(contracts);
    ledger_.replace_rates(now_->rates, now);
  }

  const std::map<std::string, std::size_t>& classes() const { return now_->classes; }

  bool has_team(const std::string& team) const {
    return now_->teams.empty() || now_->teams.count(team);
  }

  // Writes the team's terms into the request and takes it off the team's budget.
  Decision admit(const std::string& team, Nanos now, Request& request) {
    if (now_->teams.empty())
      return Decision::Admitted;
    const auto found = now_->teams.find(team);
    if (found == now_->teams.end())
      return Decision::UnknownTeam;
    const TeamContract& contract = found->second;
    const auto terms = contract.classes.find(request.class_index);
    if (terms == contract.classes.end())
      return Decision::ClassNotAllowed;
    if (!contract.groups.empty() && !contract.groups.count(request.group))
      return Decision::GroupNotAllowed;
    request.max_attempts = terms->second.max_attempts;
    if (terms->second.deadline > 0 && now + terms->second.deadline < request.deadline)
      request.deadline = now + terms->second.deadline;
    request.rate_limit_retry_after = ledger_.try_acquire(team, now);
    return Decision::Admitted;
  }

private:
  std::shared_ptr<const ContractSet> now_ = std::make_shared<ContractSet>();
  rate_limit::TokenBuckets ledger_;
};

// What a front says of a decision that is not fine.
inline const char* describe(ContractEnforcer::Decision decision) {
  switch (decision) {
  case ContractEnforcer::Decision::UnknownTeam:
    return "the team has no contract any more";
  case ContractEnforcer::Decision::GroupNotAllowed:
    return "the team's contract does not hold this group";
  default:
    return "the team's contract does not hold this class";
  }
}

}  // namespace gorsebeam::proxy
