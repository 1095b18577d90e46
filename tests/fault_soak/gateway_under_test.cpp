#include "gateway_under_test.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <glib-unix.h>
#include <sys/socket.h>
#include <unistd.h>

namespace fault_soak {

using gorsebeam::net::Listener;
using gorsebeam::net::SocketHandle;
using gorsebeam::net::Stream;

namespace {

constexpr std::chrono::milliseconds kHeartbeatInterval(500);
constexpr const char* kListening = "protocol=PostgreSQL address=";

std::string service_class(const char* name, const char* effect, int aim_ms, int deadline_ms) {
  return std::string(R"({"name":")") + name + R"(","aim":)" + std::to_string(aim_ms) +
         R"(000000,"give_up":)" + std::to_string(deadline_ms) + R"(000000,"effect":")" + effect +
         R"(","group":"cell","window":1000000000,"worth":1,"late_worth":0.5})";
}

}  // namespace

Millis now_ms() {
  return g_get_monotonic_time() / 1000;
}

FakeDiscoveryAgent::FakeDiscoveryAgent(std::function<void()> on_notified)
    : on_notified_(std::move(on_notified)), heartbeat_([this] {
        if (state_ == State::Serving && has_responded_ && watch_->open())
          write_chunk("\n");
        heartbeat_.after(kHeartbeatInterval);
      }) {
  listen("127.0.0.1:0");
  heartbeat_.after(kHeartbeatInterval);
}

void FakeDiscoveryAgent::listen(const std::string& address) {
  listener_ = std::make_unique<Listener>([this](SocketHandle socket) {
    accept(std::move(socket));
  });
  if (const auto error = listener_->listen(address))
    throw std::runtime_error("an agent cannot listen: " + error->message);
  listening_address_ = listener_->address();
}

void FakeDiscoveryAgent::accept(SocketHandle socket) {
  watch_descriptor_ = g_socket_get_fd(socket.get());
  watch_ = Stream::adopt(std::move(socket), *this);
  has_responded_ = false;
}

void FakeDiscoveryAgent::received() {
  if (watch_->input().view().find("\r\n\r\n") == std::string_view::npos)
    return;
  watch_->input().consume(watch_->input().size());
  if (state_ == State::Serving)
    respond_to_watch();
}

void FakeDiscoveryAgent::respond_to_watch() {
  has_responded_ = true;
  watch_->write({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"});
  send_list();
}

void FakeDiscoveryAgent::send_list() {
  write_chunk(encode_list());
  on_notified_();
}

void FakeDiscoveryAgent::write_chunk(const std::string& line) {
  std::ostringstream size;
  size << std::hex << line.size() << "\r\n";
  const std::string size_line = size.str();
  watch_->write({size_line, line, "\r\n"});
}

void FakeDiscoveryAgent::set_state(State state) {
  const State previous = std::exchange(state_, state);
  if (state == State::Refusing && previous != State::Refusing) {
    reset_watch();
    listener_->close();
  }
  if (previous == State::Refusing && state != State::Refusing)
    listen(listening_address_);
  if (state != State::Serving || !watch_ || !watch_->open())
    return;
  if (has_responded_)
    send_list();
}

void FakeDiscoveryAgent::publish(const std::vector<ListedEndpoint>& endpoints) {
  endpoints_ = endpoints;
  ++revision_;
  if (state_ == State::Serving && watch_ && watch_->open() && has_responded_)
    send_list();
}

void FakeDiscoveryAgent::reset_watch() {
  if (!watch_ || !watch_->open())
    return;
  const linger reset_on_close{1, 0};
  setsockopt(watch_descriptor_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  watch_->close();
}

void FakeDiscoveryAgent::move() {
  listener_->close();
  listen("127.0.0.1:0");
}

std::string FakeDiscoveryAgent::encode_list() const {
  std::string text =
      "{\"revision\":" + std::to_string(revision_) + R"(,"complete":true,"members":[)";
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const ListedEndpoint& endpoint = endpoints_[i];
    if (endpoint.phase == "gone")
      continue;  // a complete list leaves it out
    text += text.back() == '[' ? "" : ",";
    text += R"({"id":"s-0000000)" + std::to_string(i) + R"(","host_port":")" + endpoint.address +
            R"(","locality":"a","cell":0,"phase":")" + endpoint.phase +
            R"(","size":1.0,"up_since_ms":)" + std::to_string(endpoint.started_at_ms) +
            R"(,"part":")" + (endpoint.listed_as_primary ? "master" : "replica") + "\"}";
  }
  return text + "]}\n";
}

GatewayProcess::GatewayProcess(ProcessSettings settings, std::function<void()> on_ready,
                               std::function<void(int)> on_exit)
    : settings_(std::move(settings)), on_ready_(std::move(on_ready)), on_exit_(std::move(on_exit)) {
}

GatewayProcess::~GatewayProcess() {
  if (pid_ != 0)
    kill(pid_, SIGKILL);
  if (log_source_ != 0)
    g_source_remove(log_source_);
  if (log_descriptor_ >= 0)
    close(log_descriptor_);
}

void GatewayProcess::write_config(const std::string& agent_address) const {
  const std::string listen = address_.empty() ? "127.0.0.1:0" : address_;
  std::ofstream(settings_.folder + "/config.json")
      << R"({"name":"n)" << settings_.index << R"(","listen":")" << listen << R"(","discovery":")"
      << agent_address << R"(","seed":"8c1f)" << settings_.index
      << R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":)" << settings_.sockets
      << R"(},"known":{"revision":0,"complete":true,"members":[]},"settings":{"classes":[)"
      << service_class("any", "free", 500, 2000) << ','
      << service_class("save", "guarded", 750, 2500) << ','
      << service_class("once", "single_shot", 750, 2500)
      << R"(],"extra":{"read_level":["eventual","mutate","mutate"],"lag_allowed":[0,0,0],)"
      << R"("list_role":"static","token_mode":"kept","checks":"none","positions":true,"zero":0},)"
      << R"("limits":{"probes":true,"send_cap":6,"dial_timeout":250000000,"keepalive":3000000000,)"
      << R"("retry_after":true,"max_retry_after":2000000000},"obligations":{"cold_from":0.5,)"
      << R"("drain_grace":250000000},"report":{"via":"answers","fields":["x0","x1"]},"tick":1000000}})";
}

void GatewayProcess::start(const std::string& agent_address) {
  write_config(agent_address);
  std::ofstream(settings_.folder + "/gateway.textproto") << "";
  const std::string config = settings_.folder + "/config.json";
  const std::string file = settings_.folder + "/gateway.textproto";
  const std::array<const char*, 7> arguments{settings_.program.c_str(),
                                             "serve",
                                             "--config",
                                             config.c_str(),
                                             "--file",
                                             file.c_str(),
                                             nullptr};
  gchar** environment = g_get_environ();
  if (!settings_.shim.empty()) {
    environment = g_environ_setenv(environment, "LD_PRELOAD", settings_.shim.c_str(), TRUE);
    environment = g_environ_setenv(environment, "FAULT_SHIM_SEED",
                                   std::to_string(settings_.shim_seed).c_str(), TRUE);
  }
  if (log_descriptor_ >= 0) {
    read_log();
    if (log_source_ != 0)
      g_source_remove(std::exchange(log_source_, 0));
    close(log_descriptor_);
  }
  const gboolean spawned = g_spawn_async_with_pipes(
      nullptr, const_cast<gchar**>(arguments.data()), environment,
      static_cast<GSpawnFlags>(G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL), nullptr,
      nullptr, &pid_, nullptr, nullptr, &log_descriptor_, nullptr);
  g_strfreev(environment);
  if (spawned == FALSE)
    throw std::runtime_error("the program cannot be started: " + settings_.program);
  is_ready_ = false;
  log_of_process_ = log_.size();
  g_unix_set_fd_nonblocking(log_descriptor_, TRUE, nullptr);
  log_source_ = g_unix_fd_add(log_descriptor_, static_cast<GIOCondition>(G_IO_IN | G_IO_HUP),
                              &GatewayProcess::on_log, this);
  g_child_watch_add(
      pid_,
      [](GPid, gint status, gpointer data) {
        auto* self = static_cast<GatewayProcess*>(data);
        self->read_log();
        self->pid_ = 0;
        self->is_ready_ = false;
        self->on_exit_(status);
      },
      this);
}

void GatewayProcess::send_signal(int number) const {
  if (pid_ != 0)
    kill(pid_, number);
}

gboolean GatewayProcess::on_log(gint, GIOCondition condition, gpointer self_pointer) {
  auto* self = static_cast<GatewayProcess*>(self_pointer);
  self->read_log();
  if ((condition & G_IO_IN) != 0)
    return G_SOURCE_CONTINUE;
  self->log_source_ = 0;
  return G_SOURCE_REMOVE;
}

void GatewayProcess::read_log() {
  std::array<char, 8192> buffer{};
  ssize_t length = ::read(log_descriptor_, buffer.data(), buffer.size());
  while (length > 0) {
    log_.append(buffer.data(), static_cast<std::size_t>(length));
    length = ::read(log_descriptor_, buffer.data(), buffer.size());
  }
  const std::size_t found = log_.find(kListening, log_of_process_);
  if (is_ready_ || found == std::string::npos)
    return;
  const std::size_t begin = found + std::string(kListening).size();
  const std::size_t end = log_.find('\n', begin);
  if (end == std::string::npos)
    return;
  address_ = log_.substr(begin, end - begin);
  is_ready_ = true;
  on_ready_();
}

}  // namespace fault_soak
