/// Reports signals as events of the event loop, without a thread. GLib's own signal sources start a
/// thread; in an environment that runs one thread at a time, that thread can hold a lock that the
/// main thread waits for.
#pragma once

#include "handles.h"

#include <functional>
#include <vector>

namespace gorsebeam::net {

/// Runs a handler on the event loop for each of the given signals. A signal that is raised several
/// times before the event loop handles it runs the handler once. At most one instance may exist in
/// a process. The destructor restores the previous signal actions.
class Signals {
public:
  using Handler = std::function<void(int number)>;

  /// Throws std::runtime_error if the file descriptor that wakes the event loop cannot be created.
  Signals(const std::vector<int>& numbers, Handler handler);
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;
  ~Signals();

private:
  struct PreviousAction;
  static gboolean on_ready(gint, GIOCondition, gpointer self);

  Handler handler_;
  std::vector<PreviousAction> previous_actions_;
  SourceHandle source_;
};

}  // namespace gorsebeam::net
