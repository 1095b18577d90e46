#include "token_fence.h"

namespace gorsebeam::leases {

bool TokenFence::accept(const std::string& role, FencingToken token) {
  if (highest_tokens_.count(role) == 0 && highest_tokens_.size() >= kMaxRoles)
    return false;
  FencingToken& highest = highest_tokens_[role];
  if (token < highest)
    return false;
  highest = token;
  return true;
}

}  // namespace gorsebeam::leases
