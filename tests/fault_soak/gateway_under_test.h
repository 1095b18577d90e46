/// One gateway process, started and restarted without waiting, and the discovery agent beside it.
#pragma once

#include "oracle.h"

#include "net/listener.h"
#include "net/stream.h"
#include "net/timer.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <glib.h>

namespace fault_soak {

/// Milliseconds of the clock that the oracle uses.
[[nodiscard]] Millis now_ms();

/// What an agent tells of one endpoint.
struct ListedEndpoint {
  std::string address;
  std::string phase = "ready";
  bool listed_as_primary = false;
  std::int64_t started_at_ms = 0;  ///< Unix time; 0: long ago.
};

/// Serves the endpoint list at two addresses, one at a time; each holds the same.
class FakeDiscoveryAgent : gorsebeam::net::Stream::Events {
public:
  enum class State { Serving, Silent, Refusing };

  /// `on_notified` runs whenever a list has been written to an open watch.
  explicit FakeDiscoveryAgent(std::function<void()> on_notified);

  [[nodiscard]] const std::string& address() const { return listening_address_; }

  void set_state(State state);

  [[nodiscard]] bool is_serving() const { return state_ == State::Serving; }

  /// Sets the list and tells it to an open watch.
  void publish(const std::vector<ListedEndpoint>& endpoints);
  /// Resets the connection under the open watch.
  void reset_watch();
  /// Listens at another address from now on; an open watch goes on.
  void move();

private:
  void received() override;

  void ended(const std::string&) override {}

  void accept(gorsebeam::net::SocketHandle socket);
  void listen(const std::string& address);
  void respond_to_watch();
  void send_list();
  void write_chunk(const std::string& line);
  [[nodiscard]] std::string encode_list() const;

  std::function<void()> on_notified_;
  std::unique_ptr<gorsebeam::net::Listener> listener_;
  std::string listening_address_;
  std::shared_ptr<gorsebeam::net::Stream> watch_;
  int watch_descriptor_ = -1;
  bool has_responded_ = false;  ///< The open watch has had the head of its answer.
  std::vector<ListedEndpoint> endpoints_;
  int revision_ = 1;
  State state_ = State::Serving;
  gorsebeam::net::Timer heartbeat_;
};

struct ProcessSettings {
  std::string program;
  std::string shim;  ///< Preloaded into the process; empty: none.
  std::string folder;
  std::size_t sockets = 200;
  int index = 0;
  unsigned shim_seed = 0;
};

class GatewayProcess {
public:
  /// `on_ready` runs when a process listens, `on_exit` when it has exited, with the wait status.
  GatewayProcess(ProcessSettings settings, std::function<void()> on_ready,
                 std::function<void(int)> on_exit);
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;
  ~GatewayProcess();

  /// Writes the configuration and starts the program.
  void start(const std::string& agent_address);
  void write_config(const std::string& agent_address) const;
  void send_signal(int number) const;

  [[nodiscard]] bool is_running() const { return pid_ != 0; }

  [[nodiscard]] bool is_ready() const { return is_running() && is_ready_; }

  /// Where clients connect; the same for all processes once one has listened.
  [[nodiscard]] const std::string& address() const { return address_; }

  [[nodiscard]] const std::string& log() const { return log_; }

private:
  static gboolean on_log(gint descriptor, GIOCondition condition, gpointer self_pointer);
  void read_log();

  const ProcessSettings settings_;
  std::function<void()> on_ready_;
  std::function<void(int)> on_exit_;
  std::string address_;
  std::string log_;
  std::size_t log_of_process_ = 0;  ///< Where the log of the present process begins.
  GPid pid_ = 0;
  int log_descriptor_ = -1;
  guint log_source_ = 0;
  bool is_ready_ = false;
};

}  // namespace fault_soak
