/// Sets a flag for the duration of a scope.
#pragma once

namespace gorsebeam::common {

/// Sets `flag` until it is destroyed, also if an exception ends the scope. Borrows the flag.
class FlagScope {
public:
  explicit FlagScope(bool& flag) : flag_(flag) { flag_ = true; }

  FlagScope(const FlagScope&) = delete;
  FlagScope& operator=(const FlagScope&) = delete;

  ~FlagScope() { flag_ = false; }

private:
  bool& flag_;
};

}  // namespace gorsebeam::common
