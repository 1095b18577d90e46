#include "validation.h"
#include "validation_helpers.h"

#include <set>

namespace gorsebeam::config {
namespace {

std::optional<ValidationError> validate_budget(const pb::Budget& budget, const FieldPath& path) {
  if (!is_within(budget.per_second(), 0.001, 1e6))
    return ValidationError{append_step(path, "per_second"),
                           "is out of range; give 0.001 to 1000000 requests a second"};
  if (budget.burst() != 0 && !is_within(budget.burst(), 1, 1e6))
    return ValidationError{append_step(path, "burst"),
                           "is out of range; give 1 to 1000000 requests, or leave it out"};
  return std::nullopt;
}

std::optional<ValidationError> validate_class_limits(const pb::ServiceClass& service_class,
                                                     const FieldPath& path) {
  constexpr std::uint32_t kMaxAttempts = 100;
  if (service_class.longest_wait_ms() > kMaxDurationMs)
    return ValidationError{append_step(path, "longest_wait_ms"),
                           "is out of range; give at most 3600000, an hour"};
  if (service_class.tries() > kMaxAttempts)
    return ValidationError{append_step(path, "tries"), "is out of range; give at most 100"};
  return std::nullopt;
}

std::optional<ValidationError> validate_classes(const pb::Team& team, const FieldPath& path,
                                                const ValidationContext& context) {
  if (team.class_().empty())
    return ValidationError{path, "team '" + team.name() + "' holds no class; name at least one"};
  std::set<std::string> names;
  for (int i = 0; i < team.class__size(); ++i) {
    const pb::ServiceClass& service_class = team.class_(i);
    const std::string& name = service_class.name();
    const FieldPath class_path = append_step(path, "class", i);
    if (!context.classes.count(name))
      return ValidationError{append_step(class_path, "name"),
                             "'" + name + "' is no class of the settings; use one that is"};
    if (!names.insert(name).second)
      return ValidationError{append_step(class_path, "name"),
                             "'" + name + "' stands twice in the team; keep one"};
    if (auto error = validate_class_limits(service_class, class_path))
      return error;
  }
  return std::nullopt;
}

std::optional<ValidationError> validate_team(const pb::Team& team, const FieldPath& path,
                                             const ValidationContext& context) {
  if (team.has_budget())
    if (auto error = validate_budget(team.budget(), append_step(path, "budget")))
      return error;
  return validate_classes(team, path, context);
}

std::set<std::uint32_t> collect_groups(const pb::Members& members) {
  std::set<std::uint32_t> groups;
  for (const auto* list : {&members.postgres(), &members.mongo()})
    for (const pb::Member& member : *list)
      groups.insert(member.group());
  return groups;
}

}  // namespace

std::optional<ValidationError> validate_resource(const pb::Contracts& contracts,
                                                 const ValidationContext& context) {
  if (auto error = validate_generation(contracts.generation(), contracts.rolls_back()))
    return error;
  if (static_cast<std::size_t>(contracts.team_size()) > kMaxTeams)
    return ValidationError{{{"team", -1}},
                           "names more than " + std::to_string(kMaxTeams) + " teams; name fewer"};
  std::set<std::string> names;
  for (int i = 0; i < contracts.team_size(); ++i) {
    const pb::Team& team = contracts.team(i);
    const FieldPath path = {{"team", i}};
    if (auto error = validate_name(team.name(), append_step(path, "name")))
      return error;
    if (!names.insert(team.name()).second)
      return ValidationError{append_step(path, "name"),
                             "'" + team.name() + "' stands twice; keep one"};
    if (auto error = validate_team(team, path, context))
      return error;
  }
  return std::nullopt;
}

std::optional<ValidationError> validate_group_references(const pb::Contracts& contracts,
                                                         const pb::Members& members,
                                                         const ValidationContext& context) {
  if (!context.postgres_members_configured)
    return std::nullopt;
  const std::set<std::uint32_t> groups = collect_groups(members);
  for (int i = 0; i < contracts.team_size(); ++i) {
    const pb::Team& team = contracts.team(i);
    for (int j = 0; j < team.group_size(); ++j) {
      if (groups.count(team.group(j)) > 0)
        continue;
      ValidationError error;
      error.path = {{"team", i}, {"group", j}};
      error.message = "group " + std::to_string(team.group(j)) + " of team '" + team.name() +
                      "' has no member; list one, or leave the group out";
      error.is_missing_reference = true;
      return error;
    }
  }
  return std::nullopt;
}

}  // namespace gorsebeam::config
