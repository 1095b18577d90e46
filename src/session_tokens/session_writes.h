// What each session has written through this gateway, for reads that must see it; pure.
//
// A write may count before its answer is here: its member may have committed and answered it, and
// the answer be lost on the way or held up, while the session, told by whatever else, reads. The
// site says when such an answer counts as known. So while a write is out for longer, a read needs
// all that may have been answered by then, and after one that ended without a proof that it never
// ran, all that may have been committed before its end. Times are Unix nanoseconds.
#pragma once

#include "gorsebeam/router.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>

namespace gorsebeam::session_tokens {

class SessionWrites {
public:
  static constexpr Nanos kNone = INT64_MIN;  // nothing was written
  static constexpr std::size_t kMost =
      100'000;  // sessions remembered; older ones fold into one floor
  static constexpr Nanos kRemember =
      60'000'000'000;  // and for so long: no replica in use is further behind

  // `known_after`: so long after its writing an answer counts as known, come or not; nothing: once
  // it came, and then a write that is out, or ended without an answer, binds no read.
  explicit SessionWrites(std::optional<Nanos> known_after) : known_after_(known_after) {}

  void sent(std::uint64_t session, Nanos now);
  // The end of what was sent then, answered as committed at `commit`, or not answered, though it
  // may have run.
  enum class End { Answered, Unknown, NeverRan };
  void ended(std::uint64_t session, Nanos sent_at, End end, std::optional<Nanos> commit, Nanos now);
  // What a read that comes now must see. Sessions that are forgotten are held to the newest write
  // forgotten.
  Nanos seen_by(std::uint64_t session, Nanos now) const;

private:
  std::optional<Nanos> known_after_;
  std::unordered_map<std::uint64_t, Nanos> written_;  // looked up only
  std::deque<std::uint64_t> order_;                   // of their first writes
  std::unordered_map<std::uint64_t, std::multiset<Nanos>>
      out_;  // when sent; ended by each attempt's one end
  Nanos floor_ = kNone;
};

}  // namespace gorsebeam::session_tokens
