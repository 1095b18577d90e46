/// The replication position that the reads of each session require to see the session's own writes.
///
/// The module reads no clock and performs no I/O: the caller passes the time. It is not
/// thread-safe. Positions and times count from the same epoch, as the time stands in for the
/// position of a commit that is not known.
///
/// A write may take effect before its response reaches this gateway: the endpoint may have
/// committed it and answered, while the response is delayed or lost. The session may learn of the
/// commit in another way and then read. A setting, the assumed response delay, states how long
/// after the start of a write its effect counts as known to the session. While a write is in flight
/// for longer than that, a read requires everything that may have been committed and known by then.
/// After a write that ended without proof that it never ran, a read requires everything that may
/// have been committed before its end.
#pragma once

#include "gorsebeam/types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>

namespace gorsebeam::session_tokens {

/// How an attempt of a write ended.
enum class WriteResult {
  Committed,    ///< Answered as committed.
  Unknown,      ///< Not confirmed; it may have run.
  NotExecuted,  ///< Proven never to have run.
};

/// Tracks the writes of all sessions that pass this gateway.
class SessionWrites {
public:
  /// The position of a session that has written nothing.
  static constexpr ReplicationPosition kNoWrite = ReplicationPosition::min();
  /// The number of sessions whose positions are kept separately. The positions of older sessions
  /// are merged into one, the newest of them.
  static constexpr std::size_t kMaxSessions = 100'000;
  /// The minimum time for which a session's position is kept. No replica in use lags by more.
  static constexpr Duration kRetention = 60s;

  /// `assumed_response_delay`: how long after its start a write counts as known to the session,
  /// answered or not. Without a value a write counts only once its response came, and one that is
  /// in flight or ended without a response constrains no read.
  explicit SessionWrites(std::optional<Duration> assumed_response_delay)
      : assumed_response_delay_(assumed_response_delay) {}

  /// Records an attempt of a write that starts at `now`.
  void begin_write(std::uint64_t session, TimePoint now);

  /// Records the end of the attempt that began at `started_at`; each attempt ends once. Without a
  /// `commit_position` the write counts as committed at `now`.
  void complete_write(std::uint64_t session, TimePoint started_at, WriteResult result,
                      std::optional<ReplicationPosition> commit_position, TimePoint now);

  /// The position that a read of `session` at `now` must see; `kNoWrite` if it requires none. A
  /// forgotten session is held to the newest position that was forgotten.
  [[nodiscard]] ReplicationPosition required_position(std::uint64_t session, TimePoint now) const;

private:
  void remove_in_flight(std::uint64_t session, TimePoint started_at);
  void forget_oldest(TimePoint now);

  std::optional<Duration> assumed_response_delay_;
  std::unordered_map<std::uint64_t, ReplicationPosition> positions_;  // by session; never iterated
  std::deque<std::uint64_t> sessions_by_age_;  // in order of their first complete_write
  std::unordered_map<std::uint64_t, std::multiset<TimePoint>>
      in_flight_;  // start times, by session
  ReplicationPosition forgotten_position_ = kNoWrite;
};

}  // namespace gorsebeam::session_tokens
