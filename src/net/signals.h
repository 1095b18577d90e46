// Signals as events of the main loop, with no thread of their own: GLib's take one, which on a
// platform that lets one thread run at a time can hold a lock while the other waits for it.
#pragma once

#include "handles.h"

#include <functional>
#include <vector>

namespace gorsebeam::net {

// One at a time in a process. While it stands, each of the signals is told from the main loop,
// several of one kind that came together once; what was set for them before holds again after.
class Signals {
public:
  Signals(const std::vector<int>& numbers,
          std::function<void(int)> told);  // throws std::runtime_error
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;
  ~Signals();

private:
  static gboolean on_ready(gint, GIOCondition, gpointer self);
  struct Before;

  std::function<void(int)> told_;
  std::vector<Before> before_;
  SourceHandle source_;
};

}  // namespace gorsebeam::net
