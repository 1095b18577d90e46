#include "front.h"

#include "net/log.h"

#include <utility>

namespace gorsebeam::front {
namespace {
constexpr Nanos kSweep = 50'000'000;
constexpr Nanos kIdleLeast = 1'000'000'000; // a connection used within this is not closed for a new one
} // namespace

std::uint64_t hash_name(std::string_view name) {
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : name) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return h;
}

Connection::Connection(Front& front, net::SocketHandle socket)
    : front_(front), stream_(net::Stream::adopt(std::move(socket), *this)), idle_since_(net::now()) {}

void Connection::received() {
  // Bounds what a client can make us hold: while a request is in hand its next ones wait in the kernel.
  if (stream_->input().size() > front_.limits().message_bytes + 1024) stream_->pause_reading(true);
  run();
}

void Connection::flushed() {
  if (closing_) return close();
  run();
}

// Answers may come while the request is being begun, so parsing is a loop here and not a recursion.
void Connection::run() {
  if (running_) return;
  running_ = true;
  while (!busy_ && !closing_ && stream_->open() && stream_->all_written()) {
    const std::size_t before = stream_->input().size();
    parse();
    if (!busy_ && stream_->input().size() == before) break;
    if (stream_->input().size() == 0) break;
  }
  running_ = false;
  if (!busy_ && stream_->open() && !closing_) stream_->pause_reading(false);
}

void Connection::begin(Request request) {
  busy_ = true;
  starting_ = true;
  const std::string id = front_.core().take(std::move(request), *this);
  starting_ = false;
  if (busy_) request_ = id;
}

void Connection::answered() {
  busy_ = false;
  request_.clear();
  idle_since_ = net::now();
  if (front_.stopping() && stream_->input().size() == 0) return close_when_written();
  if (!starting_) run();
}

void Connection::close_when_written() {
  closing_ = true;
  if (stream_->all_written()) close();
}

void Connection::close() {
  if (busy_) front_.core().gone(request_);
  busy_ = false;
  stream_->close();
  front_.remove(this);
}

void Connection::ended(const std::string&) { close(); }

Front::Front(broker::Core& core, const Limits& limits, Make make)
    : core_(core), limits_(limits), make_(std::move(make)),
      listener_([this](net::SocketHandle socket) { accepted(std::move(socket)); }),
      reaper_([this] { removed_.clear(); }), sweep_([this] { stop_accepting(); }) {}

void Front::accepted(net::SocketHandle socket) {
  const bool crowded = connections_.size() >= limits_.connections && !evict();
  auto connection = make_(*this, std::move(socket));
  connection->crowded_ = crowded;
  if (crowded)
    net::log_line("front", "turned a client away: " + std::to_string(connections_.size()) + " are connected");
  Connection* key = connection.get();
  connections_[key] = std::move(connection);
  // Guards the spare descriptors: beyond the ones to be turned away in words, clients wait in the kernel.
  if (connections_.size() >= limits_.connections + limits_.crowded) listener_.pause(true);
}

// A gateway may close a connection between requests: the one idle longest makes room for a new one.
bool Front::evict() {
  Connection* oldest = nullptr;
  for (const auto& [connection, owned] : connections_)
    if (connection->idle() && !connection->unread() &&
        (!oldest || connection->idle_since() < oldest->idle_since()))
      oldest = connection;
  if (!oldest || net::now() - oldest->idle_since() < kIdleLeast) return false;
  oldest->close();
  return true;
}

void Front::remove(Connection* connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  removed_.push_back(std::move(found->second));
  connections_.erase(found);
  reaper_.after(0);
  if (listener_.open() && !stopping_) listener_.pause(false);
}

void Front::stop_accepting() {
  stopping_ = true;
  listener_.close();
  std::vector<Connection*> idle;
  for (const auto& [connection, owned] : connections_)
    if (connection->idle() && !connection->unread()) idle.push_back(connection);
  for (Connection* connection : idle) connection->close();
  if (!connections_.empty()) sweep_.after(kSweep);
}

} // namespace gorsebeam::front
