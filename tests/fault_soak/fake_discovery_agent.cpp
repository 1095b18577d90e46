#include "fake_discovery_agent.h"

#include "integration/tcp_reset.h"

#include <cstdint>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace fault_soak {

using gorsebeam::net::Listener;
using gorsebeam::net::SocketHandle;
using gorsebeam::net::Stream;

namespace {

constexpr std::chrono::milliseconds kHeartbeatInterval(500);

}  // namespace

FakeDiscoveryAgent::FakeDiscoveryAgent(std::function<void()> on_list_sent)
    : on_list_sent_(std::move(on_list_sent)), heartbeat_([this] {
        send_heartbeat();
      }) {
  listen("127.0.0.1:0");
  heartbeat_.after(kHeartbeatInterval);
}

void FakeDiscoveryAgent::send_heartbeat() {
  if (is_serving() && has_sent_response_head_ && watch_->is_open())
    write_chunk("\n");
  heartbeat_.after(kHeartbeatInterval);
}

void FakeDiscoveryAgent::listen(const std::string& address) {
  listener_ = std::make_unique<Listener>([this](SocketHandle socket) {
    accept(std::move(socket));
  });
  if (const auto error = listener_->listen(address))
    throw std::runtime_error("a fake discovery agent cannot listen at " + address + ": " +
                             error->message);
  listening_address_ = listener_->address();
}

void FakeDiscoveryAgent::accept(SocketHandle socket) {
  watch_descriptor_ = g_socket_get_fd(socket.get());
  watch_ = Stream::adopt(std::move(socket), *this);
  has_sent_response_head_ = false;
}

void FakeDiscoveryAgent::received() {
  if (watch_->input().view().find("\r\n\r\n") == std::string_view::npos)
    return;
  watch_->input().consume(watch_->input().size());
  if (!is_serving())
    return;
  has_sent_response_head_ = true;
  watch_->write({test_harness::kWatchResponseHead});
  send_list();
}

void FakeDiscoveryAgent::send_list() {
  write_chunk(test_harness::encode_endpoint_list(revision_, endpoints_));
  on_list_sent_();
}

void FakeDiscoveryAgent::write_chunk(const std::string& line) {
  watch_->write({test_harness::encode_chunk(line)});
}

void FakeDiscoveryAgent::set_state(State state) {
  const State previous = std::exchange(state_, state);
  if (state == State::Refusing && previous != State::Refusing) {
    reset_watch();
    listener_->close();
  }
  if (previous == State::Refusing && state != State::Refusing)
    listen(listening_address_);
  if (is_serving() && has_open_watch() && has_sent_response_head_)
    send_list();
}

void FakeDiscoveryAgent::publish(const std::vector<test_harness::ListedEndpoint>& endpoints) {
  endpoints_ = endpoints;
  ++revision_;
  if (is_serving() && has_open_watch() && has_sent_response_head_)
    send_list();
}

void FakeDiscoveryAgent::reset_watch() {
  if (!has_open_watch())
    return;
  test_harness::reset_on_close(watch_descriptor_);
  watch_->close();
}

void FakeDiscoveryAgent::move_to_new_address() {
  listener_->close();
  listen("127.0.0.1:0");
}

}  // namespace fault_soak
