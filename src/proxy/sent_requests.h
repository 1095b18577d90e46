/// Remembers for a while which requests may have run at an endpoint, so that a request that comes
/// again is not run twice.
///
/// A request comes again under its id, or under a new id with its idempotency key. An id names one
/// request: it is accepted again only if its protocol repeats requests under their ids and its
/// class permits it. Endpoints discard repeats of an idempotency key within the deduplication
/// window, which begins when the first attempt that may have run was sent, whichever request it
/// belonged to; after the window no request with the key is sent.
///
/// Performs no I/O; the caller passes the time in. Runs on one thread. An entry expires after the
/// longest deduplication window and the longest deadline, within which a client's retries end; the
/// oldest entry is dropped if there are too many.
#pragma once

#include "gorsebeam/events.h"
#include "gorsebeam/settings.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace gorsebeam::proxy {

/// The hashes under which a request is remembered.
struct SentRequestKeys {
  std::uint64_t id = 0;
  /// Of its idempotency key and its group; empty if its class has no keys.
  std::optional<std::uint64_t> idempotency_key;
};

/// Whether a request that may have run comes again.
enum class Repetition {
  None,
  Permitted,   ///< It may be sent, with `RepetitionCheck::earlier_attempt` in mind.
  IdUsed,      ///< Its id is that of a request that may have run.
  KeyExpired,  ///< It may have run, and endpoints may have forgotten its idempotency key.
};

struct RepetitionCheck {
  Repetition repetition = Repetition::None;
  /// The first attempt that may have run with the same idempotency key; empty if none may have.
  std::optional<EarlierAttempt> earlier_attempt;
};

class SentRequests {
public:
  /// The entries that are held at most, in about 100 bytes each.
  static constexpr std::size_t kMaxEntries = 16'384;

  /// `settings` is borrowed and outlives this object. `seed` makes the hashes unpredictable.
  SentRequests(const Settings& settings, std::uint64_t seed, std::size_t max_entries = kMaxEntries);

  [[nodiscard]] SentRequestKeys keys_of(const Request& request) const;

  /// Checks a request that arrives at `now`, and is not open. `keys` are those of the request.
  [[nodiscard]] RepetitionCheck check(const Request& request, const SentRequestKeys& keys,
                                      TimePoint now);

  /// Records that an attempt of a request was written to `endpoint` at `now`.
  void record_attempt(const SentRequestKeys& keys, EndpointId endpoint, TimePoint now);

  /// Records that the attempt that was written at `sent_at` did not run.
  void forget_attempt(const SentRequestKeys& keys, TimePoint sent_at);

  [[nodiscard]] std::size_t size() const { return attempts_.size(); }

private:
  struct Expiry {
    std::uint64_t key = 0;
    TimePoint sent_at{};
  };

  void remember(std::uint64_t key, const EarlierAttempt& attempt);
  void forget(std::uint64_t key, TimePoint sent_at);
  void drop_expired(TimePoint now);
  void drop_oldest();
  [[nodiscard]] const EarlierAttempt* find(std::uint64_t key) const;
  [[nodiscard]] static bool may_reuse_id(const Request& request, const RequestClass& settings);

  const Settings& settings_;
  std::uint64_t seed_;
  std::size_t max_entries_;
  Duration retention_;
  std::unordered_map<std::uint64_t, EarlierAttempt> attempts_;  ///< Keyed by hash.
  std::deque<Expiry>
      expiries_;  ///< In the order of the times; may hold entries that are forgotten.
};

}  // namespace gorsebeam::proxy
