/// The check of fencing tokens by the receiver of actions. It rejects an action whose token is
/// lower than one it accepted for the same role, because that holder has a successor.
#pragma once

#include "leases/messages.h"

#include <map>
#include <string>

namespace gorsebeam::leases {

class TokenFence {
public:
  /// Returns whether the action may be performed, which is the case if no higher token was accepted
  /// for the role and the role is one of the first kMaxRoles. Records the token of such an action.
  [[nodiscard]] bool accept(const std::string& role, FencingToken token);

private:
  std::map<std::string, FencingToken> highest_tokens_;
};

}  // namespace gorsebeam::leases
