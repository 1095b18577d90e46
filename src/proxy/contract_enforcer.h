/// The contracts of teams: which request classes and groups a team may use, how long its requests
/// may wait, how many attempts they get, and its rate limit.
///
/// Runs on one thread; the caller passes the time in.
#pragma once

#include "gorsebeam/router.h"
#include "rate_limit/token_buckets.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace gorsebeam::proxy {

/// The limits of one request class in one team's contract.
struct ClassPolicy {
  Duration deadline{};             ///< The longest wait of a request; 0: as the request asks.
  std::uint32_t max_attempts = 0;  ///< Attempts a request gets; 0: as the settings say.
};

/// What one team may use.
struct TeamContract {
  std::map<std::size_t, ClassPolicy> classes;  ///< By index into `Settings::classes`.
  std::set<GroupId> groups;                    ///< Groups it may use; empty: all of them.
};

/// All contracts. Without any team every caller may use everything, as on the platform. Immutable
/// once it is in force.
struct ContractSet {
  std::map<std::string, std::size_t> classes;     ///< Index into `Settings::classes`, by name.
  std::map<std::string, TeamContract> teams;      ///< By the team's name.
  std::map<std::string, rate_limit::Rate> rates;  ///< By the team's name; none: unlimited.
};

/// Applies the contracts in force, for all frontends. A new set replaces the whole old one; a
/// request that is open keeps the terms it was admitted with.
class ContractEnforcer {
public:
  enum class Decision { Admitted, UnknownTeam, ClassNotAllowed, GroupNotAllowed };

  /// Puts `contracts`, which is not null, in force at `now`. Token buckets carry over as
  /// `rate_limit::TokenBuckets::replace_rates` says.
  void replace_contracts(std::shared_ptr<const ContractSet> contracts, TimePoint now);

  /// Request classes by name, valid until the next `replace_contracts`.
  [[nodiscard]] const std::map<std::string, std::size_t>& classes() const {
    return contracts_->classes;
  }

  /// Whether requests of `team` may be admitted at all.
  [[nodiscard]] bool has_team(const std::string& team) const;

  /// Decides on a request by its class and group. If it is admitted, writes the limits of the
  /// contract into `request` and takes a token from the team's bucket: a request over the rate
  /// limit is still admitted and carries `rate_limit_retry_after`, by which the router rejects it.
  [[nodiscard]] Decision admit(const std::string& team, TimePoint now, Request& request);

private:
  std::shared_ptr<const ContractSet> contracts_ = std::make_shared<ContractSet>();
  rate_limit::TokenBuckets buckets_;
};

/// The text that a frontend sends its client for a `decision` other than `Admitted`.
[[nodiscard]] const char* describe(ContractEnforcer::Decision decision);

}  // namespace gorsebeam::proxy
