#include "lease_table.h"

#include <sstream>

namespace gorsebeam::leases {
namespace {

bool is_valid_holder(const std::string& holder) {
  return holder.empty() || is_valid_name(holder);
}

}  // namespace

std::string LeaseTable::grant_command(const std::string& role, const std::string& holder,
                                      FencingToken expected_token) {
  return "grant " + role + ' ' + std::to_string(expected_token) + ' ' + holder;
}

std::optional<std::string> LeaseTable::apply(std::uint64_t index, const std::string& command) {
  std::istringstream words(command);
  std::string verb;
  std::string role;
  std::string holder;
  FencingToken expected_token = 0;
  words >> verb >> role >> expected_token;
  if (!words || verb != "grant" || !is_valid_name(role))
    return std::nullopt;
  words >> holder;
  if (!is_valid_holder(holder))
    return std::nullopt;
  if (grant_of(role).token != expected_token || index <= expected_token)
    return std::nullopt;
  if (grants_.count(role) == 0 && grants_.size() >= kMaxRoles)
    return std::nullopt;
  grants_[role] = {holder, index};
  return role;
}

const Grant& LeaseTable::grant_of(const std::string& role) const {
  static const Grant kNoGrant;
  const auto found = grants_.find(role);
  return found == grants_.end() ? kNoGrant : found->second;
}

std::string LeaseTable::serialize() const {
  std::string text;
  for (const auto& [role, grant] : grants_)
    text += role + ' ' + std::to_string(grant.token) + ' ' + grant.holder + '\n';
  return text;
}

std::optional<LeaseTable> LeaseTable::parse(const std::string& text) {
  LeaseTable table;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string role;
    std::string holder;
    FencingToken token = 0;
    words >> role >> token;
    if (!words || !is_valid_name(role) || table.grants_.size() >= kMaxRoles)
      return std::nullopt;
    words >> holder;
    if (!is_valid_holder(holder))
      return std::nullopt;
    table.grants_[role] = {holder, token};
  }
  return table;
}

}  // namespace gorsebeam::leases
