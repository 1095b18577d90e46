/// Why the broker accepts a request or not.
#pragma once

namespace gorsebeam::proxy {

enum class BeginResult {
  Begun,
  InvalidId,   ///< The id is empty or too long.
  IdInUse,     ///< A request with this id is open, or has an attempt in flight.
  IdUsed,      ///< A request with this id may have run.
  KeyExpired,  ///< A request with this idempotency key may have run, too long ago.
};

/// The error text that a frontend sends to its client; empty for `Begun`.
[[nodiscard]] const char* describe(BeginResult result);

/// The name of the result in the log, such as "id_used".
[[nodiscard]] const char* name_of(BeginResult result);

}  // namespace gorsebeam::proxy
