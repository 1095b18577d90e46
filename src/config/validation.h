// The one check of what an operator configures, whether it stands in a file, was pushed or rested
// on disk; and what the gateway makes of it. Pure.
#pragma once

#include "proxy/contract_enforcer.h"
#include "proxy/request_broker.h"

#include "gorsebeam/config/v1/config.pb.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gorsebeam::config {

namespace pb = gorsebeam::config::v1;

// Where in a message: fields from its root, with the place in a repeated one, else -1.
using Path = std::vector<std::pair<std::string, int>>;

struct Fault {
  Path at;
  std::string what;          // and the mend
  bool reference = false;    // to something that is not there, and may still come
  std::string text() const;  // "contracts.team[2].budget.per_second: is ..."
};

// What holds as long as the process runs, against which the rest is checked.
struct Site {
  std::map<std::string, std::size_t> classes;  // of the platform's settings, by name
  bool postgres_listed = false;  // PostgreSQL's members come from the operator, not from discovery
  bool mongo = false;            // the second front is on
};

constexpr std::size_t kTeamsMost = 10'000, kMembersMost = 100'000, kNameMost = 128;

std::optional<Fault> check(const pb::Contracts& contracts, const Site& site);
std::optional<Fault> check(const pb::Members& members, const Site& site);
std::optional<Fault> check(const pb::Limits& limits, const Site& site);
// Groups that contracts name must have members. Groups of fronts whose members the operator does
// not list cannot be checked.
std::optional<Fault> check_together(const pb::Contracts& contracts, const pb::Members& members,
                                    const Site& site);
// Fields that this version does not know: what they ask for would not be done, so they are turned
// down.
std::optional<Fault> check_unknown(const google::protobuf::Message& message);
std::optional<Fault> check(const pb::ControlService& service);

// Of messages that were checked.
proxy::ContractSet contracts_of(const pb::Contracts& contracts,
                                const std::map<std::string, std::size_t>& classes);
std::vector<proxy::ListedEndpoint>
members_of(const google::protobuf::RepeatedPtrField<pb::Member>& members);
void list_members(const std::vector<proxy::ListedEndpoint>& listed,
                  google::protobuf::RepeatedPtrField<pb::Member>& members);

}  // namespace gorsebeam::config
