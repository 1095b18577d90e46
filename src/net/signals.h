/// Reports signals as events of the main loop. No thread is used: GLib's signal sources start one,
/// which can hold a lock that the main thread waits for, in environments that run one thread at a
/// time.
#pragma once

#include "handles.h"

#include <functional>
#include <vector>

namespace gorsebeam::net {

/// At most one instance exists in a process. Each of the signals runs the handler from the main
/// loop; several instances of a signal that arrive together run it once. The destructor restores
/// the previous actions.
class Signals {
public:
  using Handler = std::function<void(int number)>;

  /// Throws std::runtime_error if no descriptor is left.
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
