/// The receiver's check of fencing tokens: it rejects actions of holders that were superseded.
#pragma once

#include "leases/messages.h"

#include <map>
#include <string>

namespace gorsebeam::leases {

class TokenFence {
public:
  /// False: a higher token was seen for the role, or kMaxRoles other roles are known.
  [[nodiscard]] bool accept(const std::string& role, FencingToken token);

private:
  std::map<std::string, FencingToken> highest_tokens_;
};

}  // namespace gorsebeam::leases
