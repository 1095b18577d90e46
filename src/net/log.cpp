#include "log.h"

#include <glib.h>

#include <cstdio>
#include <map>

namespace gorsebeam::net {

void log_line(const char* kind, const std::string& text) {
  struct Recent {
    gint64 since = 0;
    int lines = 0, left_out = 0;
  };
  static std::map<std::string, Recent> kinds; // kinds are literals: a few
  Recent& recent = kinds[kind];
  const gint64 now = g_get_monotonic_time();
  if (recent.since == 0 || now - recent.since >= G_USEC_PER_SEC) recent.since = now, recent.lines = 0;
  if (++recent.lines > kLogBurst) {
    ++recent.left_out;
    return;
  }
  std::string line = std::string("gorsebeam: ") + kind + ": " + text;
  if (recent.left_out > 0) line += " (" + std::to_string(recent.left_out) + " such lines left out before)";
  recent.left_out = 0;
  std::fprintf(stderr, "%s\n", line.c_str());
}

} // namespace gorsebeam::net
