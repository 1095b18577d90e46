#include "validation.h"
#include "validation_helpers.h"

#include "gorsebeam/router.h"
#include "net/stream.h"

#include <unordered_set>

namespace gorsebeam::config {
namespace {

using google::protobuf::RepeatedPtrField;

std::optional<ValidationError> validate_location(const pb::Member& member, const FieldPath& path) {
  if (!net::parse_address(member.address()))
    return ValidationError{append_step(path, "address"),
                           "'" + member.address() +
                               "' is no numeric address and port; write it as 127.0.0.1:5432"};
  if (member.zone().size() > kMaxNameBytes)
    return ValidationError{append_step(path, "zone"), "is too long; give at most 128 bytes"};
  return std::nullopt;
}

std::optional<ValidationError> validate_enums(const pb::Member& member, const FieldPath& path) {
  if (!pb::Member::Role_IsValid(member.role()))
    return ValidationError{append_step(path, "role"), "is unknown; give PRIMARY or REPLICA"};
  if (!pb::Member::State_IsValid(member.state()))
    return ValidationError{append_step(path, "state"), "is unknown; give UP, DRAINING or REMOVED"};
  return std::nullopt;
}

std::optional<ValidationError> validate_numbers(const pb::Member& member, const FieldPath& path) {
  constexpr std::uint64_t kMaxUnixSeconds = 9'000'000'000ULL;
  if (member.size() != 0 && !is_within(member.size(), 1e-6, 1e6))
    return ValidationError{append_step(path, "size"),
                           "is out of range; give 0.000001 to 1000000, or leave it out"};
  if (member.started_unix_s() > kMaxUnixSeconds)
    return ValidationError{append_step(path, "started_unix_s"),
                           "is out of range; give seconds since 1970"};
  return std::nullopt;
}

/// Validates the members of one frontend. `field` is the name of the field that holds them.
class MemberListValidator {
public:
  explicit MemberListValidator(const char* field) : field_(field) {}

  [[nodiscard]] std::optional<ValidationError>
  validate(const RepeatedPtrField<pb::Member>& members) {
    names_.reserve(static_cast<std::size_t>(members.size()));
    for (int i = 0; i < members.size(); ++i)
      if (auto error = validate_member(members[i], {{field_, i}}))
        return error;
    return std::nullopt;
  }

private:
  [[nodiscard]] std::optional<ValidationError> validate_member(const pb::Member& member,
                                                               const FieldPath& path) {
    if (auto error = validate_name(member.name(), append_step(path, "name")))
      return error;
    if (!names_.insert(member.name()).second)
      return ValidationError{append_step(path, "name"),
                             "'" + member.name() + "' stands twice; keep one"};
    if (auto error = validate_location(member, path))
      return error;
    if (auto error = validate_enums(member, path))
      return error;
    const bool is_primary = member.role() == pb::Member::PRIMARY;
    if (is_primary && !groups_with_primary_.insert(member.group()).second)
      return ValidationError{append_step(path, "role"), "group " + std::to_string(member.group()) +
                                                            " has a primary already; keep one"};
    return validate_numbers(member, path);
  }

  const char* field_;
  std::unordered_set<std::string> names_;
  std::unordered_set<GroupId> groups_with_primary_;
};

/// Checks each frontend's list of members as a whole. The list must be empty if the frontend does
/// not take its endpoints from the operator; otherwise it may be empty only with `may_be_empty`.
std::optional<ValidationError> validate_frontends(const pb::Members& members,
                                                  const ValidationContext& context) {
  if (members.postgres_size() > 0 && !context.postgres_members_configured)
    return ValidationError{
        {{"postgres", 0}},
        "these members come from discovery here; leave them out, or start with a list"};
  if (members.mongo_size() > 0 && !context.mongo_enabled)
    return ValidationError{
        {{"mongo", 0}}, "the second front is off; it is turned on at the start only, by the file"};
  const bool is_postgres_empty = context.postgres_members_configured && members.postgres().empty();
  const bool is_mongo_empty = context.mongo_enabled && members.mongo().empty();
  if ((is_postgres_empty || is_mongo_empty) && !members.may_be_empty())
    return ValidationError{
        {}, "a front would be left with no member; set may_be_empty if that is meant"};
  return std::nullopt;
}

}  // namespace

std::optional<ValidationError> validate_resource(const pb::Members& members,
                                                 const ValidationContext& context) {
  if (auto error = validate_generation(members.generation(), members.rolls_back()))
    return error;
  const std::size_t count = static_cast<std::size_t>(members.postgres_size()) +
                            static_cast<std::size_t>(members.mongo_size());
  if (count > kMaxMembers)
    return ValidationError{
        {}, "names more than " + std::to_string(kMaxMembers) + " members; name fewer"};
  if (auto error = validate_frontends(members, context))
    return error;
  if (auto error = MemberListValidator("postgres").validate(members.postgres()))
    return error;
  return MemberListValidator("mongo").validate(members.mongo());
}

}  // namespace gorsebeam::config
