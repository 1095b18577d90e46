/// Queues events for the router, in the order in which the router gets them.
///
/// Performs no I/O; runs on one thread. Holds at most one event for each request, attempt and
/// health check that began or ended since the last dispatch, and one for each endpoint list.
#pragma once

#include "gorsebeam/events.h"

#include <deque>
#include <optional>

namespace gorsebeam::proxy {

class EventQueue {
public:
  void push(Event event);

  /// Adds an endpoint list. Lists are popped before all other events, because nothing may be
  /// decided on an outdated list.
  void push_endpoint_list(EndpointList list);

  /// Removes and returns the next event; empty if the queue is empty.
  [[nodiscard]] std::optional<Event> pop();

  /// Whether the queue holds an endpoint list, which the router has not seen yet.
  [[nodiscard]] bool has_endpoint_list() const { return !endpoint_lists_.empty(); }

  /// Removes all events except endpoint lists, and returns them, oldest first.
  [[nodiscard]] std::deque<Event> remove_events();

  /// Adds `events` after those in the queue.
  void append(std::deque<Event> events);

  /// Opens a batch. The broker holds the events back until each open batch is closed.
  void open_batch() { ++open_batches_; }

  /// Closes one open batch.
  void close_batch() { --open_batches_; }

  [[nodiscard]] bool has_open_batch() const { return open_batches_ > 0; }

private:
  std::deque<EndpointList> endpoint_lists_;
  std::deque<Event> events_;
  int open_batches_ = 0;
};

}  // namespace gorsebeam::proxy
