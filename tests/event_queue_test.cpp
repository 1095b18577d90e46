// Tests the order in which events reach the router.
#include "proxy/event_queue.h"

#include <gtest/gtest.h>

#include <string>

using namespace gorsebeam;
using namespace gorsebeam::proxy;

namespace {

ClientDisconnected disconnected(const char* request_id) {
  return ClientDisconnected{request_id};
}

/// The request id of the next event, "list" for an endpoint list, "none" for no event.
std::string pop_name(EventQueue& queue) {
  const auto event = queue.pop();
  if (!event)
    return "none";
  if (std::holds_alternative<EndpointList>(*event))
    return "list";
  return std::get<ClientDisconnected>(*event).request_id;
}

TEST(EventQueue, PopsEndpointListsBeforeOlderEvents) {
  EventQueue queue;
  queue.push(disconnected("a"));
  queue.push(disconnected("b"));
  queue.push_endpoint_list({});
  EXPECT_TRUE(queue.has_endpoint_list());
  EXPECT_EQ(pop_name(queue), "list");
  EXPECT_FALSE(queue.has_endpoint_list());
  EXPECT_EQ(pop_name(queue), "a");
  EXPECT_EQ(pop_name(queue), "b");
  EXPECT_EQ(pop_name(queue), "none");
}

TEST(EventQueue, AppendsRemovedEventsBehindNewerOnes) {
  EventQueue queue;
  queue.push(disconnected("a"));
  queue.push(disconnected("b"));
  std::deque<Event> waiting = queue.remove_events();
  EXPECT_EQ(pop_name(queue), "none");
  queue.push(disconnected("response"));
  queue.append(std::move(waiting));
  EXPECT_EQ(pop_name(queue), "response");
  EXPECT_EQ(pop_name(queue), "a");
  EXPECT_EQ(pop_name(queue), "b");
}

TEST(EventQueue, HasAnOpenBatchUntilEachIsClosed) {
  EventQueue queue;
  EXPECT_FALSE(queue.has_open_batch());
  queue.open_batch();
  queue.open_batch();
  queue.close_batch();
  EXPECT_TRUE(queue.has_open_batch());
  queue.close_batch();
  EXPECT_FALSE(queue.has_open_batch());
}

}  // namespace
