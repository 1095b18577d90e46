// What each team may ask for: its classes, how long its requests may wait, how often they may be
// tried, and its rate.
#pragma once

#include "budgets/ledger.h"
#include "gorsebeam/router.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace gorsebeam::broker {

struct ClassTerms {
  Nanos deadline = 0;          // a request waits no longer; 0: as it asks
  std::uint32_t attempts = 0;  // tries at most; 0: as the settings have it
};

struct Contract {
  std::map<std::size_t, ClassTerms> classes;  // by number in the settings
  std::set<GroupId> groups;                   // that it may ask; none: all
};

// The settings' classes by name, and the teams by theirs. Without any team every caller may ask for
// everything, as on the platform. Immutable once in force.
struct Contracts {
  std::map<std::string, std::size_t> classes;
  std::map<std::string, Contract> teams;
  std::map<std::string, budgets::Rate> rates;
};

// The contracts in force, for all fronts. Replaced as a whole while requests are open; each keeps
// what it began with.
class Terms {
public:
  enum class Verdict { Fine, NoTeam, NoClass, NoGroup };

  void set(std::shared_ptr<const Contracts> contracts, Nanos now) {
    now_ = std::move(contracts);
    ledger_.set(now_->rates, now);
  }

  const std::map<std::string, std::size_t>& classes() const { return now_->classes; }

  bool knows(const std::string& team) const {
    return now_->teams.empty() || now_->teams.count(team);
  }

  // Writes the team's terms into the request and takes it off the team's budget.
  Verdict apply(const std::string& team, Nanos now, Request& request) {
    if (now_->teams.empty())
      return Verdict::Fine;
    const auto found = now_->teams.find(team);
    if (found == now_->teams.end())
      return Verdict::NoTeam;
    const Contract& contract = found->second;
    const auto terms = contract.classes.find(request.class_index);
    if (terms == contract.classes.end())
      return Verdict::NoClass;
    if (!contract.groups.empty() && !contract.groups.count(request.group))
      return Verdict::NoGroup;
    request.attempts = terms->second.attempts;
    if (terms->second.deadline > 0 && now + terms->second.deadline < request.deadline)
      request.deadline = now + terms->second.deadline;
    request.over_budget = ledger_.charge(team, now);
    return Verdict::Fine;
  }

private:
  std::shared_ptr<const Contracts> now_ = std::make_shared<Contracts>();
  budgets::Ledger ledger_;
};

// What a front says of a verdict that is not fine.
inline const char* words(Terms::Verdict verdict) {
  switch (verdict) {
  case Terms::Verdict::NoTeam:
    return "the team has no contract any more";
  case Terms::Verdict::NoGroup:
    return "the team's contract does not hold this group";
  default:
    return "the team's contract does not hold this class";
  }
}

}  // namespace gorsebeam::broker
