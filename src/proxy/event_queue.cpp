#include "event_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gorsebeam::proxy {

void EventQueue::push(Event event) {
  events_.push_back(std::move(event));
}

void EventQueue::push_endpoint_list(EndpointList list) {
  endpoint_lists_.push_back(std::move(list));
}

std::optional<Event> EventQueue::pop() {
  if (!endpoint_lists_.empty()) {
    Event event = std::move(endpoint_lists_.front());
    endpoint_lists_.pop_front();
    return event;
  }
  if (events_.empty())
    return std::nullopt;
  Event event = std::move(events_.front());
  events_.pop_front();
  return event;
}

std::deque<Event> EventQueue::remove_events() {
  return std::exchange(events_, {});
}

void EventQueue::append(std::deque<Event> events) {
  std::move(events.begin(), events.end(), std::back_inserter(events_));
}

}  // namespace gorsebeam::proxy
