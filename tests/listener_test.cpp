// Tests of the listener when accept(2) fails: which connections are lost, and whether the event
// loop busy-waits.
#include "net/listener.h"
#include "net/stream.h"
#include "net/timer.h"

#include <gtest/gtest.h>

#include <cerrno>
#include <cstdint>
#include <deque>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <glib.h>
#include <sys/socket.h>

namespace {

std::deque<int> next_errors;  // errno of each of the next calls of accept; 0: the call succeeds
int accept_calls = 0;

}  // namespace

// Replaces accept(2), which GLib calls to accept a connection.
// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name): libc reserves its names
extern "C" int accept(int descriptor, sockaddr* address, socklen_t* length) {
  ++accept_calls;
  const int error = next_errors.empty() ? 0 : next_errors.front();
  if (!next_errors.empty())
    next_errors.pop_front();
  if (error == 0)
    return accept4(descriptor, address, length, 0);
  errno = error;
  return -1;
}

namespace {

using namespace gorsebeam::net;

class Client : public Stream::Events {
public:
  explicit Client(const std::string& address) : stream_(Stream::connect(address, *this)) {}

  void connected() override { is_connected = true; }

  void received() override {}

  void ended(const std::string&) override {}

  bool is_connected = false;

private:
  std::shared_ptr<Stream> stream_;
};

class ListenerTest : public testing::Test {
protected:
  ListenerTest()
      : listener_([this](SocketHandle socket) {
          if (std::exchange(throws_at_next_, false))
            throw std::runtime_error("no memory for the connection");
          accepted_.push_back(std::move(socket));
        }) {
    next_errors.clear();
    EXPECT_FALSE(listener_.listen("127.0.0.1:0"));
  }

  ~ListenerTest() override { next_errors.clear(); }

  /// Connects `count` clients while the listener is paused, so that all of them are queued.
  void queue_clients(std::size_t count) {
    listener_.pause();
    for (std::size_t i = 0; i < count; ++i)
      clients_.push_back(std::make_unique<Client>(listener_.address()));
    for (const auto& client : clients_)
      while (!client->is_connected)
        g_main_context_iteration(nullptr, TRUE);
  }

  void await_accepted(std::size_t count) {
    while (accepted_.size() < count)
      g_main_context_iteration(nullptr, TRUE);
  }

  Listener listener_;
  bool throws_at_next_ = false;
  std::vector<SocketHandle> accepted_;
  std::vector<std::unique_ptr<Client>> clients_;
};

// While no descriptor is left, the socket stays readable. An event loop that watched it would never
// block in a poll.
TEST_F(ListenerTest, WaitsForDescriptorsWithoutBusyWaiting) {
  constexpr std::chrono::milliseconds kShortage(100);
  constexpr int kMaxCalls = 10;  // one per 20 ms, with a margin
  queue_clients(1);
  next_errors.assign(100'000, EMFILE);
  accept_calls = 0;
  Timer shortage_end([] {
    next_errors.clear();
  });
  shortage_end.after(kShortage);
  listener_.resume();
  while (!next_errors.empty())
    g_main_context_iteration(nullptr, TRUE);
  EXPECT_LE(accept_calls, kMaxCalls);
  await_accepted(1);
}

TEST_F(ListenerTest, AcceptsTheNextConnectionAfterOneThatWasLost) {
  queue_clients(4);
  next_errors = {ECONNABORTED, EPROTO, 0, ENETUNREACH, 0};
  listener_.resume();
  await_accepted(4);
}

// Guards against a program that ends with an exception which concerns one connection.
TEST_F(ListenerTest, AcceptsTheNextConnectionAfterAnException) {
  queue_clients(2);
  throws_at_next_ = true;
  listener_.resume();
  await_accepted(1);
}

// A connection that is queued behind a lost one may hold a request, so a lost connection must not
// end the drain.
TEST_F(ListenerTest, ClosesOnlyOnceTheQueueIsEmpty) {
  queue_clients(4);
  next_errors = {ECONNABORTED, 0, ECONNABORTED};
  EXPECT_TRUE(listener_.drain_and_close());
  EXPECT_EQ(accepted_.size(), 4U);
  EXPECT_FALSE(listener_.is_open());
}

TEST_F(ListenerTest, StaysOpenWhileQueuedConnectionsCannotBeAccepted) {
  queue_clients(3);
  next_errors = {0, EMFILE};
  EXPECT_FALSE(listener_.drain_and_close());
  EXPECT_TRUE(listener_.is_open());
  EXPECT_EQ(accepted_.size(), 1U);
  EXPECT_TRUE(listener_.drain_and_close());
  EXPECT_EQ(accepted_.size(), 3U);
}

}  // namespace
