/// The state machine of the replicated log: the holder of each role and its fencing token. All Raft
/// nodes compute the same table from the same entries.
#pragma once

#include "leases/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace gorsebeam::leases {

struct Grant {
  std::string holder;  ///< Empty if the role was never granted, or was last granted to no holder.
  FencingToken token = 0;
};

class LeaseTable {
public:
  /// Returns the log command "grant ROLE TOKEN HOLDER". It takes effect only if the role's token is
  /// still `expected_token` (compare and set).
  [[nodiscard]] static std::string grant_command(const std::string& role, const std::string& holder,
                                                 FencingToken expected_token);

  /// Applies the command of the log entry at `index`, which becomes the fencing token of the grant.
  /// Returns the role whose grant changed, or nothing if the command is outdated, is no well-formed
  /// grant or would add a role beyond kMaxRoles.
  std::optional<std::string> apply(std::uint64_t index, const std::string& command);

  /// Returns the current grant, which is empty for a role that was never granted.
  [[nodiscard]] const Grant& grant_of(const std::string& role) const;

  /// Returns a line "ROLE TOKEN HOLDER" for each role.
  [[nodiscard]] std::string serialize() const;

  /// Parses the text that `serialize` returns; returns nothing if the text is malformed.
  [[nodiscard]] static std::optional<LeaseTable> parse(const std::string& text);

private:
  std::map<std::string, Grant> grants_;
};

}  // namespace gorsebeam::leases
