// Budgets of teams at this gateway: a bucket for each that fills at its rate and holds its burst.
// Pure: time comes in. Beyond a budget the module refuses the request; how long until the next one
// fits is told from here. Kept per team of the contracts in force and no longer.
#pragma once

#include "gorsebeam/router.h"

#include <map>
#include <string>

namespace gorsebeam::rate_limit {

struct Rate {
  double per_second = 0;  // above 0
  double burst = 1;       // at least 1
};

class TokenBuckets {
public:
  // Replaces all rates. A team that stays keeps what is left of its bucket, at most the new burst;
  // a new one is full.
  void replace_rates(std::map<std::string, Rate> rates, Nanos now);
  // Takes one request off the team's budget. 0: it fits; else how long until one would, and nothing
  // was taken.
  Nanos try_acquire(const std::string& team, Nanos now);

  std::size_t size() const { return buckets_.size(); }

private:
  struct Bucket {
    Rate rate;
    double left = 0;
    Nanos at = 0;
  };

  std::map<std::string, Bucket> buckets_;
};

}  // namespace gorsebeam::rate_limit
