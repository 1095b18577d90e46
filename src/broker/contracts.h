// What each team may ask for: its classes, how long its requests may wait, how often they may be tried, and its rate.
#pragma once

#include "gorsebeam/router.h"

#include <map>
#include <optional>
#include <string>

namespace gorsebeam::broker {

struct ClassTerms {
  Nanos deadline = 0;         // a request waits no longer; 0: as it asks
  std::uint32_t attempts = 0; // tries at most; 0: as the settings have it
};

struct Contract {
  std::optional<std::size_t> tenant;         // its number in the module
  std::map<std::size_t, ClassTerms> classes; // by number in the settings
};

// The settings' classes by name, and the teams by theirs. Without any team every caller may ask for everything, as
// on the platform.
struct Contracts {
  std::map<std::string, std::size_t> classes;
  std::map<std::string, Contract> teams;

  bool knows(const std::string& team) const { return teams.empty() || teams.count(team); }
  // Writes the team's terms into the request. False: its contract does not hold the class.
  bool apply(const std::string& team, Nanos now, Request& request) const {
    if (teams.empty()) return true;
    const Contract& contract = teams.at(team);
    const auto terms = contract.classes.find(request.class_index);
    if (terms == contract.classes.end()) return false;
    request.tenant = contract.tenant;
    request.attempts = terms->second.attempts;
    if (terms->second.deadline > 0 && now + terms->second.deadline < request.deadline)
      request.deadline = now + terms->second.deadline;
    return true;
  }
};

} // namespace gorsebeam::broker
