/// Admits the requests of one client connection: applies the client's time limit and the contract
/// of its team to each of them. All functions run on the event loop's thread.
#pragma once

#include "parsed_request.h"

#include "common/result.h"
#include "proxy/contract_enforcer.h"

#include <optional>
#include <string>

namespace gorsebeam::frontend {

class RequestAdmission {
public:
  /// Borrows both arguments.
  RequestAdmission(proxy::ContractEnforcer& contracts, const Settings& settings)
      : contracts_(contracts), settings_(settings) {}

  /// Sets the team to the name that the client gives; it is empty until then.
  void set_team(std::string team);

  /// The request classes in force, valid until the contracts are replaced.
  [[nodiscard]] RequestClasses classes() const;

  /// The error text for a team that has no contract; empty if it has one.
  [[nodiscard]] std::optional<std::string> missing_contract() const;

  /// Returns the request with its deadline and the limits of the contract, or why the contract does
  /// not admit it. `arrival` is when the request arrived; its time limit counts from there.
  [[nodiscard]] common::Result<Request, proxy::ContractEnforcer::Decision>
  admit(ParsedRequest parsed, TimePoint arrival, TimePoint now);

private:
  proxy::ContractEnforcer& contracts_;
  const Settings& settings_;
  std::string team_;
};

}  // namespace gorsebeam::frontend
