/// The receiver's check of fencing tokens: it rejects actions of holders that have a successor.
#pragma once

#include "leases/messages.h"

#include <map>
#include <string>

namespace gorsebeam::leases {

class TokenFence {
public:
  /// Returns whether the action may be performed: no higher token was accepted for the role, and
  /// the role is one of the first kMaxRoles.
  [[nodiscard]] bool accept(const std::string& role, FencingToken token);

private:
  std::map<std::string, FencingToken> highest_tokens_;
};

}  // namespace gorsebeam::leases
