/// Admits requests by the contracts of teams: the request classes and groups that a team may use,
/// the deadline and attempts of its requests, and its rate limit.
///
/// Pure; runs on one thread; the caller passes the time in.
#pragma once

#include "gorsebeam/router.h"
#include "rate_limit/token_buckets.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace gorsebeam::proxy {

/// The limits of one request class in one team's contract.
struct ClassLimits {
  std::optional<Duration> max_deadline;  ///< From the arrival of a request; empty: no limit.
  std::uint32_t max_attempts = 0;        ///< Of one request; 0: the limit of the settings.
};

/// The contract of one team.
struct TeamContract {
  std::map<std::size_t, ClassLimits> classes;  ///< By index into `Settings::classes`.
  std::set<GroupId> groups;                    ///< That the team may use; empty: all groups.
};

/// All contracts. If it has no team, every request is admitted without limits. Immutable once it is
/// in force.
struct ContractSet {
  std::map<std::string, std::size_t> classes;     ///< Indexes into `Settings::classes`, by name.
  std::map<std::string, TeamContract> teams;      ///< By the team's name.
  std::map<std::string, rate_limit::Rate> rates;  ///< By the team's name; absent: unlimited.
};

/// Applies one set of contracts for all frontends. A new set replaces the old one as a whole; an
/// open request keeps the limits with which it was admitted.
class ContractEnforcer {
public:
  enum class Decision { Admitted, UnknownTeam, ClassNotAllowed, GroupNotAllowed };

  /// Applies `contracts`, which is not null, from `now` on.
  /// `rate_limit::TokenBuckets::replace_rates` states what becomes of the token buckets.
  void replace_contracts(std::shared_ptr<const ContractSet> contracts, TimePoint now);

  /// Request classes by name, valid until the next `replace_contracts`.
  [[nodiscard]] const std::map<std::string, std::size_t>& classes() const {
    return contracts_->classes;
  }

  /// Whether requests of `team` can be admitted.
  [[nodiscard]] bool has_team(const std::string& team) const;

  /// Decides on a request by its class and group. If it is admitted, sets the limits of the
  /// contract in `request` and acquires a token from the team's bucket. A request over the rate
  /// limit is admitted with `rate_limit_retry_after`, by which the router rejects it.
  [[nodiscard]] Decision admit(const std::string& team, TimePoint now, Request& request);

private:
  std::shared_ptr<const ContractSet> contracts_ = std::make_shared<ContractSet>();
  rate_limit::TokenBuckets buckets_;
};

/// The error text that a frontend sends to its client; empty for `Admitted`.
[[nodiscard]] const char* describe(ContractEnforcer::Decision decision);

}  // namespace gorsebeam::proxy
