/// A fake discovery agent. Faults can make it send nothing, refuse connections or move to another
/// address.
#pragma once

#include "integration/discovery_messages.h"
#include "net/listener.h"
#include "net/stream.h"
#include "net/timer.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fault_soak {

/// Sends the endpoint list to one watch at a time: a new connection replaces the previous watch.
class FakeDiscoveryAgent : gorsebeam::net::Stream::Events {
public:
  /// `Silent` accepts connections but sends nothing; `Refusing` has no listener.
  enum class State { Serving, Silent, Refusing };

  /// `on_list_sent` runs whenever the agent has written a list to an open watch.
  explicit FakeDiscoveryAgent(std::function<void()> on_list_sent);
  FakeDiscoveryAgent(const FakeDiscoveryAgent&) = delete;
  FakeDiscoveryAgent& operator=(const FakeDiscoveryAgent&) = delete;

  [[nodiscard]] const std::string& address() const { return listening_address_; }

  void set_state(State state);

  [[nodiscard]] bool is_serving() const { return state_ == State::Serving; }

  /// Replaces the list and sends it to the open watch, if there is one.
  void publish(const std::vector<test_harness::ListedEndpoint>& endpoints);
  /// Resets the connection of the open watch, if there is one.
  void reset_watch();
  /// Replaces the listener by one at another address; an open watch stays open.
  void move_to_new_address();

private:
  void received() override;

  void ended(const std::string&) override {}

  [[nodiscard]] bool has_open_watch() const { return watch_ && watch_->is_open(); }

  void accept(gorsebeam::net::SocketHandle socket);
  void listen(const std::string& address);
  void send_list();
  void send_heartbeat();
  void write_chunk(const std::string& line);

  std::function<void()> on_list_sent_;
  std::unique_ptr<gorsebeam::net::Listener> listener_;
  std::string listening_address_;
  std::shared_ptr<gorsebeam::net::Stream> watch_;
  int watch_descriptor_ = -1;
  bool has_sent_response_head_ = false;  ///< Whether the open watch has got its HTTP response head.
  std::vector<test_harness::ListedEndpoint> endpoints_;
  int revision_ = 1;
  State state_ = State::Serving;
  gorsebeam::net::Timer heartbeat_;
};

}  // namespace fault_soak
