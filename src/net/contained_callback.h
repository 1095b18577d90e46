/// Contains exceptions in callbacks of GLib, which is written in C: an exception must not pass it.
#pragma once

#include <exception>
#include <utility>

namespace gorsebeam::net {

/// Logs an exception that left a callback of `source`.
void log_callback_failure(const char* source, const std::exception& error);

/// Runs `callback` and logs an exception that leaves it.
template <typename Callback>
void run_contained(const char* source, Callback&& callback) {
  try {
    std::forward<Callback>(callback)();
  } catch (const std::exception& error) {
    log_callback_failure(source, error);
  }
}

}  // namespace gorsebeam::net
