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
  std::string holder;  ///< Empty if there is none, or the grant was given up.
  FencingToken token = 0;
};

class LeaseTable {
public:
  /// Returns the log command "grant ROLE TOKEN HOLDER". It takes effect only if the role's token is
  /// still `expected_token` (compare and set).
  [[nodiscard]] static std::string grant_command(const std::string& role, const std::string& holder,
                                                 FencingToken expected_token);

  /// Applies the command at `index`, which becomes the fencing token. Returns the role that
  /// changed, or nothing if the command is outdated or not a grant.
  std::optional<std::string> apply(std::uint64_t index, const std::string& command);

  /// The current grant; an empty one for a role that was never granted.
  [[nodiscard]] const Grant& grant_of(const std::string& role) const;

  /// Returns a line "ROLE TOKEN HOLDER" for each role.
  [[nodiscard]] std::string serialize() const;

  /// Returns nothing if the text is not one that `serialize` returned.
  [[nodiscard]] static std::optional<LeaseTable> parse(const std::string& text);

private:
  std::map<std::string, Grant> grants_;
};

}  // namespace gorsebeam::leases
