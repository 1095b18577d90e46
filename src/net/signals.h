/// Signals as events of the main loop, without a thread of their own. GLib's signal sources use a
/// thread, which can hold a lock while the main thread waits for it where only one thread runs at a
/// time.
#pragma once

#include "handles.h"

#include <functional>
#include <vector>

namespace gorsebeam::net {

/// At most one instance exists in a process. Each of the given signals runs the handler from the
/// main loop, once for several that arrive together. The destructor restores the previous actions.
class Signals {
public:
  using Handler = std::function<void(int number)>;

  /// Throws std::runtime_error where no descriptor is left.
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
