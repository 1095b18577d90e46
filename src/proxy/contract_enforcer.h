/// Admits requests by the contracts of teams: the request classes and groups that a team may use,
/// the deadline and attempts of its requests, and its rate limit.
///
/// Performs no I/O; the caller passes the time in. Runs on one thread.
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
  std::optional<Duration> max_deadline;  ///< Counted from the admission; empty: no limit.
  std::uint32_t max_attempts = 0;        ///< For one request; 0: the limit of the settings.
};

/// The contract of one team.
struct TeamContract {
  std::map<std::size_t, ClassLimits> classes;  ///< Keyed by index into `Settings::classes`.
  std::set<GroupId> groups;                    ///< The groups that it may use; empty: all groups.
};

/// The contracts of all teams. If there is no team, every request is admitted without limits. A set
/// is not changed once it is in force.
struct ContractSet {
  std::map<std::string, std::size_t> classes;  ///< Indexes into `Settings::classes`, keyed by name.
  std::map<std::string, TeamContract> teams;   ///< Keyed by the team's name.
  std::map<std::string, rate_limit::Rate> rates;  ///< Keyed by the team's name; absent: unlimited.
};

/// Applies one set of contracts for all frontends. A new set replaces the old one as a whole; an
/// open request keeps the limits with which it was admitted.
class ContractEnforcer {
public:
  enum class Decision { Admitted, UnknownTeam, ClassNotAllowed, GroupNotAllowed };

  /// Applies `contracts`, which is not null, from `now` on.
  /// `rate_limit::TokenBuckets::replace_rates` describes what happens to the token buckets.
  void replace_contracts(std::shared_ptr<const ContractSet> contracts, TimePoint now);

  /// The indexes of the request classes, keyed by name; the reference is valid until the next
  /// `replace_contracts`.
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
