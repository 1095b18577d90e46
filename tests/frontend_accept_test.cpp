// Bounds the system calls that a new connection costs while all capacity is in use.
#include "frontend/frontend.h"
#include "net/address.h"
#include "net/timer.h"

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <glib.h>
#include <poll.h>

namespace {

int poll_calls = 0;

}  // namespace

// Replaces libc's function to count the calls that GLib makes, both for the condition of a socket
// and for the main loop.
// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name): libc reserves its names
extern "C" int poll(pollfd* descriptors, nfds_t count, int timeout_ms) {
  ++poll_calls;
  const timespec timeout{timeout_ms / 1000, (timeout_ms % 1000) * 1'000'000L};
  return ppoll(descriptors, count, timeout_ms < 0 ? nullptr : &timeout, nullptr);
}

namespace {

using namespace gorsebeam;

constexpr std::size_t kCapacity = 64;
constexpr std::size_t kNewClients = 32;

/// A connection that drops all input.
class SilentConnection : public frontend::ClientConnection {
public:
  using ClientConnection::ClientConnection;

  proxy::ByteSpans body(Duration) override { return {}; }

  void respond(const proxy::ByteSpans&) override {}

  void reject(Duration) override {}

  void fail() override {}

private:
  void parse() override { consume(input().size()); }

  void send_closing_error(frontend::RejectReason) override {
    close_when_written(frontend::CloseReason::ErrorSent);
  }
};

class Client : public net::Stream::Events {
public:
  explicit Client(const std::string& address) : stream_(net::Stream::connect(address, *this)) {}

  void connected() override { is_connected = true; }

  void received() override {}

  void ended(const std::string&) override { is_connected = false; }

  bool is_connected = false;

private:
  std::shared_ptr<net::Stream> stream_;
};

class FullFrontend : public testing::Test {
protected:
  FullFrontend()
      : broker_(make_settings(), 1), frontend_(broker_, make_limits(), make_connection) {}

  static Settings make_settings() {
    Settings settings;
    RequestClass request_class;
    request_class.name = "any";
    request_class.latency_objective = 1ms;
    request_class.deadline = 1ms;
    settings.classes.push_back(request_class);
    return settings;
  }

  static frontend::FrontendLimits make_limits() {
    frontend::FrontendLimits limits;
    limits.max_connections = kCapacity;
    return limits;
  }

  static std::unique_ptr<frontend::ClientConnection> make_connection(frontend::Frontend& frontend,
                                                                     net::SocketHandle socket) {
    ++accepted;
    return std::make_unique<SilentConnection>(frontend, std::move(socket));
  }

  void connect_clients(std::size_t count) {
    const std::size_t expected = accepted + count;
    for (std::size_t i = 0; i < count; ++i)
      clients_.push_back(std::make_unique<Client>(frontend_.address()));
    while (accepted < expected)
      g_main_context_iteration(nullptr, TRUE);
  }

  static void run_loop_for(Duration duration) {
    bool is_over = false;
    net::Timer timer([&] {
      is_over = true;
    });
    timer.after(duration);
    while (!is_over)
      g_main_context_iteration(nullptr, TRUE);
  }

  static inline std::size_t accepted = 0;

  proxy::RequestBroker broker_;
  frontend::Frontend frontend_;
  std::vector<std::unique_ptr<Client>> clients_;
};

// Each accept evicts an idle connection, and should poll only the socket of that one. Polling the
// sockets of all idle connections at each accept stalled the loop for over a second.
TEST_F(FullFrontend, PollsOneIdleConnectionAtAnAccept) {
  ASSERT_FALSE(frontend_.listen("127.0.0.1:0"));
  connect_clients(kCapacity);
  run_loop_for(100ms);  // a connection is evicted only once it was idle for 50 ms
  const int calls_before = poll_calls;

  connect_clients(kNewClients);

  const auto calls = static_cast<std::size_t>(poll_calls - calls_before);
  EXPECT_LT(calls, kNewClients * kCapacity / 4)
      << "more than a quarter of one call for each connection and accept";
}

}  // namespace
