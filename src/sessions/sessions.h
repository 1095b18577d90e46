// What each session has written through this gateway, for reads that must see it; pure.
//
// A write counts from the moment it goes out: its member may have committed it and answered, and the answer be lost on the
// way or held up, while the session, told by whatever else, reads. So while one is out, and after one that ended without a
// proof that it never ran, a read needs all that may have been committed by then. Times are Unix nanoseconds.
#pragma once

#include "gorsebeam/router.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace gorsebeam::sessions {

class Writes {
public:
  static constexpr Nanos kNone = INT64_MIN;       // nothing was written
  static constexpr std::size_t kMost = 100'000;   // sessions remembered; older ones fold into one floor
  static constexpr Nanos kRemember = 60'000'000'000; // and for so long: no replica in use is further behind

  void sent(std::uint64_t session);
  // The end of what was sent: committed at the latest at `commit`; nothing where it never ran.
  void ended(std::uint64_t session, std::optional<Nanos> commit, Nanos now);
  // What a read that comes now must see. Sessions that are forgotten are held to the newest write forgotten.
  Nanos seen_by(std::uint64_t session, Nanos now) const;

private:
  std::unordered_map<std::uint64_t, Nanos> written_; // looked up only
  std::deque<std::uint64_t> order_;                  // of their first writes
  std::unordered_map<std::uint64_t, int> out_;       // ended by each attempt's one end
  Nanos floor_ = kNone;
};

} // namespace gorsebeam::sessions
