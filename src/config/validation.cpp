#include "validation.h"

#include "net/stream.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <unordered_set>

namespace gorsebeam::config {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::RepeatedPtrField;
constexpr Nanos kMs = 1'000'000;
constexpr std::uint32_t kWaitMost = 3'600'000;  // ms
constexpr std::size_t kAddressesMost = 16;

bool fits(double value, double least, double most) {
  return std::isfinite(value) && value >= least && value <= most;
}

Path under(Path at, const char* field, int index = -1) {
  at.emplace_back(field, index);
  return at;
}

// Names: whole, short, and nothing that would break a line of the log.
std::optional<std::string> bad_name(const std::string& name) {
  if (name.empty())
    return "is missing; give a name";
  if (name.size() > kNameMost)
    return "is longer than " + std::to_string(kNameMost) + " bytes; give a shorter name";
  for (const char c : name)
    if (static_cast<unsigned char>(c) < 0x20)
      return "holds a control character; leave it out";
  return std::nullopt;
}

std::optional<Fault> check_team(const pb::Team& team, const Path& at, const Site& site) {
  if (team.has_budget()) {
    const Path budget = under(at, "budget");
    if (!fits(team.budget().per_second(), 0.001, 1e6))
      return Fault{under(budget, "per_second"),
                   "is out of range; give 0.001 to 1000000 requests a second"};
    if (team.budget().burst() != 0 && !fits(team.budget().burst(), 1, 1e6))
      return Fault{under(budget, "burst"),
                   "is out of range; give 1 to 1000000 requests, or leave it out"};
  }
  if (team.class_().empty())
    return Fault{at, "team '" + team.name() + "' holds no class; name at least one"};
  std::set<std::string> names;
  for (int i = 0; i < team.class__size(); ++i) {
    const pb::ServiceClass& c = team.class_(i);
    const Path place = under(at, "class", i);
    if (!site.classes.count(c.name()))
      return Fault{under(place, "name"),
                   "'" + c.name() + "' is no class of the settings; use one that is"};
    if (!names.insert(c.name()).second)
      return Fault{under(place, "name"), "'" + c.name() + "' stands twice in the team; keep one"};
    if (c.longest_wait_ms() > kWaitMost)
      return Fault{under(place, "longest_wait_ms"),
                   "is out of range; give at most 3600000, an hour"};
    if (c.tries() > 100)
      return Fault{under(place, "tries"), "is out of range; give at most 100"};
  }
  return std::nullopt;
}

std::optional<Fault> check_members(const RepeatedPtrField<pb::Member>& members, const char* field) {
  std::unordered_set<std::string> names;
  names.reserve(static_cast<std::size_t>(members.size()));
  std::unordered_set<GroupId> with_primary;
  for (int i = 0; i < members.size(); ++i) {
    const pb::Member& m = members[i];
    const Path at = {{field, i}};
    if (const auto bad = bad_name(m.name()))
      return Fault{under(at, "name"), *bad};
    if (!names.insert(m.name()).second)
      return Fault{under(at, "name"), "'" + m.name() + "' stands twice; keep one"};
    if (!net::parse_address(m.address()))
      return Fault{under(at, "address"),
                   "'" + m.address() +
                       "' is no numeric address and port; write it as 127.0.0.1:5432"};
    if (m.zone().size() > kNameMost)
      return Fault{under(at, "zone"), "is too long; give at most 128 bytes"};
    if (!pb::Member::Role_IsValid(m.role()))
      return Fault{under(at, "role"), "is unknown; give PRIMARY or REPLICA"};
    if (!pb::Member::State_IsValid(m.state()))
      return Fault{under(at, "state"), "is unknown; give UP, DRAINING or REMOVED"};
    if (m.role() == pb::Member::PRIMARY && !with_primary.insert(m.group()).second)
      return Fault{under(at, "role"),
                   "group " + std::to_string(m.group()) + " has a primary already; keep one"};
    if (m.size() != 0 && !fits(m.size(), 1e-6, 1e6))
      return Fault{under(at, "size"), "is out of range; give 0.000001 to 1000000, or leave it out"};
    if (m.started_unix_s() > 9'000'000'000ULL)
      return Fault{under(at, "started_unix_s"), "is out of range; give seconds since 1970"};
  }
  return std::nullopt;
}

template <typename Numbered>
std::optional<Fault> check_generation(const Numbered& set) {
  if (set.rolls_back() != 0 && set.rolls_back() <= set.generation())
    return Fault{{{"rolls_back", -1}},
                 "is not above 'generation'; name the newer generation that is taken back"};
  return std::nullopt;
}

}  // namespace

std::string Fault::text() const {
  std::string text;
  for (const auto& [field, index] : at) {
    text += (text.empty() ? "" : ".") + field;
    if (index >= 0)
      text += '[' + std::to_string(index) + ']';
  }
  return text.empty() ? what : text + ": " + what;
}

std::optional<Fault> check(const pb::Contracts& contracts, const Site& site) {
  if (const auto fault = check_generation(contracts))
    return fault;
  if (static_cast<std::size_t>(contracts.team_size()) > kTeamsMost)
    return Fault{{{"team", -1}},
                 "names more than " + std::to_string(kTeamsMost) + " teams; name fewer"};
  std::set<std::string> names;
  for (int i = 0; i < contracts.team_size(); ++i) {
    const Path at = {{"team", i}};
    if (const auto bad = bad_name(contracts.team(i).name()))
      return Fault{under(at, "name"), *bad};
    if (!names.insert(contracts.team(i).name()).second)
      return Fault{under(at, "name"), "'" + contracts.team(i).name() + "' stands twice; keep one"};
    if (const auto fault = check_team(contracts.team(i), at, site))
      return fault;
  }
  return std::nullopt;
}

std::optional<Fault> check(const pb::Members& members, const Site& site) {
  if (const auto fault = check_generation(members))
    return fault;
  if (static_cast<std::size_t>(members.postgres_size()) +
          static_cast<std::size_t>(members.mongo_size()) >
      kMembersMost)
    return Fault{{}, "names more than " + std::to_string(kMembersMost) + " members; name fewer"};
  if (members.postgres_size() > 0 && !site.postgres_listed)
    return Fault{{{"postgres", 0}},
                 "these members come from discovery here; leave them out, or start with a list"};
  if (members.mongo_size() > 0 && !site.mongo)
    return Fault{{{"mongo", 0}},
                 "the second front is off; it is turned on at the start only, by the file"};
  const bool bare = (site.postgres_listed && members.postgres().empty()) ||
                    (site.mongo && members.mongo().empty());
  if (bare && !members.may_be_empty())
    return Fault{{}, "a front would be left with no member; set may_be_empty if that is meant"};
  if (const auto fault = check_members(members.postgres(), "postgres"))
    return fault;
  return check_members(members.mongo(), "mongo");
}

std::optional<Fault> check(const pb::Limits& limits, const Site&) {
  if (const auto fault = check_generation(limits))
    return fault;

  const struct {
    const char* field;
    std::uint32_t value, least, most;
  } bounds[] = {{"client_connections", limits.client_connections(), 8, 1'000'000},
                {"member_connections", limits.member_connections(), 8, 1'000'000},
                {"message_kib", limits.message_kib(), 64, 16 * 1024},
                {"buffered_mib", limits.buffered_mib(), 1, 1'000'000}};

  for (const auto& b : bounds)
    if (b.value != 0 && (b.value < b.least || b.value > b.most))
      return Fault{{{b.field, -1}},
                   "is out of range; give " + std::to_string(b.least) + " to " +
                       std::to_string(b.most) + ", or leave it out"};
  return std::nullopt;
}

std::optional<Fault> check_together(const pb::Contracts& contracts, const pb::Members& members,
                                    const Site& site) {
  if (!site.postgres_listed)
    return std::nullopt;  // discovery's groups are not known here
  std::set<std::uint32_t> groups;
  for (const auto* list : {&members.postgres(), &members.mongo()})
    for (const pb::Member& m : *list)
      groups.insert(m.group());
  for (int t = 0; t < contracts.team_size(); ++t)
    for (int g = 0; g < contracts.team(t).group_size(); ++g)
      if (!groups.count(contracts.team(t).group(g)))
        return Fault{{{"team", t}, {"group", g}},
                     "group " + std::to_string(contracts.team(t).group(g)) + " of team '" +
                         contracts.team(t).name() +
                         "' has no member; list one, or leave the group out",
                     true};
  return std::nullopt;
}

std::optional<Fault> check_unknown(const google::protobuf::Message& message) {
  const google::protobuf::Reflection* reflection = message.GetReflection();
  const auto& unknown = reflection->GetUnknownFields(message);
  if (!unknown.empty())
    return Fault{{},
                 "field number " + std::to_string(unknown.field(0).number()) + " of " +
                     message.GetDescriptor()->name() +
                     " is not known to this version; leave it out"};
  std::vector<const FieldDescriptor*> fields;
  reflection->ListFields(message, &fields);
  for (const FieldDescriptor* field : fields) {
    if (field->cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE)
      continue;
    const int count = field->is_repeated() ? reflection->FieldSize(message, field) : 1;
    for (int i = 0; i < count; ++i) {
      auto fault =
          check_unknown(field->is_repeated() ? reflection->GetRepeatedMessage(message, field, i)
                                             : reflection->GetMessage(message, field));
      if (!fault)
        continue;
      fault->at.insert(fault->at.begin(), {field->name(), field->is_repeated() ? i : -1});
      return fault;
    }
  }
  return std::nullopt;
}

std::optional<Fault> check(const pb::ControlService& service) {
  if (service.address().empty())
    return Fault{{}, "names no address; give at least one"};
  if (static_cast<std::size_t>(service.address_size()) > kAddressesMost)
    return Fault{{{"address", -1}}, "names more than 16 addresses; name fewer"};
  for (int i = 0; i < service.address_size(); ++i)
    if (!net::parse_address(service.address(i)))
      return Fault{{{"address", i}},
                   "'" + service.address(i) +
                       "' is no numeric address and port; write it as 127.0.0.1:18000"};
  if (const auto bad = bad_name(service.node()))
    return Fault{{{"node", -1}}, *bad};

  const struct {
    const char* field;
    std::uint32_t value, least;
  } times[] = {{"reconnect_most_ms", service.reconnect_most_ms(), 50},
               {"silence_ms", service.silence_ms(), 100},
               {"hold_ms", service.hold_ms(), 10}};

  for (const auto& t : times)
    if (t.value != 0 && (t.value < t.least || t.value > kWaitMost))
      return Fault{{{t.field, -1}},
                   "is out of range; give " + std::to_string(t.least) + " to 3600000 ms"};
  return std::nullopt;
}

proxy::ContractSet contracts_of(const pb::Contracts& contracts,
                                const std::map<std::string, std::size_t>& classes) {
  proxy::ContractSet made;
  made.classes = classes;
  for (const pb::Team& team : contracts.team()) {
    proxy::TeamContract& contract = made.teams[team.name()];
    contract.groups.insert(team.group().begin(), team.group().end());
    for (const pb::ServiceClass& c : team.class_())
      contract.classes[classes.at(c.name())] = {static_cast<Nanos>(c.longest_wait_ms()) * kMs,
                                                c.tries()};
    if (!team.has_budget())
      continue;
    const double rate = team.budget().per_second(), burst = team.budget().burst();
    made.rates[team.name()] = {rate, burst != 0 ? burst : std::max(1.0, rate)};
  }
  return made;
}

std::vector<proxy::ListedEndpoint> members_of(const RepeatedPtrField<pb::Member>& members) {
  std::vector<proxy::ListedEndpoint> list;
  list.reserve(static_cast<std::size_t>(members.size()));
  for (const pb::Member& m : members) {
    proxy::ListedEndpoint listed;
    listed.name = m.name(), listed.address = m.address();
    listed.endpoint.group = m.group();
    listed.endpoint.zone = m.zone();
    listed.endpoint.listed_as_primary = m.role() == pb::Member::PRIMARY;
    listed.endpoint.status = m.state() == pb::Member::DRAINING  ? EndpointStatus::Draining
                             : m.state() == pb::Member::REMOVED ? EndpointStatus::Removed
                                                                : EndpointStatus::Up;
    listed.endpoint.weight = m.size() != 0 ? m.size() : 1;
    listed.endpoint.started_at = static_cast<Nanos>(m.started_unix_s()) * 1'000'000'000;
    list.push_back(std::move(listed));
  }
  return list;
}

void list_members(const std::vector<proxy::ListedEndpoint>& listed,
                  RepeatedPtrField<pb::Member>& members) {
  for (const proxy::ListedEndpoint& l : listed) {
    pb::Member& m = *members.Add();
    m.set_name(l.name), m.set_address(l.address);
    m.set_group(l.endpoint.group);
    m.set_zone(l.endpoint.zone);
    m.set_role(l.endpoint.listed_as_primary ? pb::Member::PRIMARY : pb::Member::REPLICA);
    m.set_state(l.endpoint.status == EndpointStatus::Draining  ? pb::Member::DRAINING
                : l.endpoint.status == EndpointStatus::Removed ? pb::Member::REMOVED
                                                               : pb::Member::UP);
    m.set_size(l.endpoint.weight);
    m.set_started_unix_s(static_cast<std::uint64_t>(l.endpoint.started_at / 1'000'000'000));
  }
}

}  // namespace gorsebeam::config
