/// The events that wait for the router, in the order in which it gets them.
///
/// Pure; runs on one thread. Holds at most one event for each request, attempt and health
/// check that began or ended since the last dispatch, and each endpoint list.
#pragma once

#include "gorsebeam/events.h"

#include <deque>
#include <optional>

namespace gorsebeam::proxy {

class EventQueue {
public:
  void push(Event event);

  /// Endpoint lists come before all other events: nothing may be decided on an older list.
  void push_endpoint_list(EndpointList list);

  /// Removes the next event; empty if none waits.
  [[nodiscard]] std::optional<Event> pop();

  /// Whether an endpoint list waits that the router has not seen.
  [[nodiscard]] bool has_endpoint_list() const { return !endpoint_lists_.empty(); }

  /// Removes all events except endpoint lists, oldest first.
  [[nodiscard]] std::deque<Event> remove_events();

  /// Adds `events` behind those that wait.
  void append(std::deque<Event> events);

  /// Opens a batch: the events are held back until each open batch is closed.
  void open_batch() { ++open_batches_; }

  /// Closes a batch that was opened.
  void close_batch() { --open_batches_; }

  [[nodiscard]] bool has_open_batch() const { return open_batches_ > 0; }

private:
  std::deque<EndpointList> endpoint_lists_;
  std::deque<Event> events_;
  int open_batches_ = 0;
};

}  // namespace gorsebeam::proxy
