#include "transient_error_backoff.h"

#include <gio/gio.h>

namespace gorsebeam::net {
namespace {

constexpr int kMaxConsecutiveErrors = 50;
constexpr Duration kTransientErrorBackoff = 5ms;

// GLib maps a lack of memory (ENOMEM) to G_IO_ERROR_NO_SPACE. It has no code for a lack of buffers
// (ENOBUFS), which becomes G_IO_ERROR_FAILED.
bool may_be_transient(const GError& error) {
  return error.domain == G_IO_ERROR &&
         (error.code == G_IO_ERROR_NO_SPACE || error.code == G_IO_ERROR_FAILED);
}

}  // namespace

bool TransientErrorBackoff::start(const GError& error) {
  if (!may_be_transient(error) || ++consecutive_errors_ > kMaxConsecutiveErrors)
    return false;
  timer_.after(kTransientErrorBackoff);
  return true;
}

}  // namespace gorsebeam::net
