#include "frontend.h"

#include "net/log.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::frontend {
namespace {
constexpr Nanos kSecond = 1'000'000'000;
constexpr Nanos kSweep = kSecond / 20;
constexpr Nanos kLinger = kSecond / 4;  // after the last words; a client hangs up long before
constexpr Nanos kOwed =
    2 * kSecond + kSecond / 2;            // an error or a close is due 3 s after connecting
constexpr Nanos kUnread = 5 * kSecond;    // an answer not taken for longer than any deadline
constexpr std::size_t kStepsAtOnce = 16;  // messages of one connection in one turn of the loop
constexpr std::size_t kAheadMost =
    8 * 1024;  // bytes read behind a request in hand where memory is short
}  // namespace

std::uint64_t hash_name(std::string_view name) {
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : name)
    h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return h;
}

ClientConnection::ClientConnection(Frontend& front, net::SocketHandle socket)
    : front_(front), stream_(net::Stream::adopt(std::move(socket), *this)), since_(net::now()),
      resume_([this] {
        try {
          run();
        } catch (const std::exception& error) {
          net::log({"connection_closed", {{"reason", "exception"}, {"error", error.what()}}});
          close();
        }
      }) {}

void ClientConnection::received() {
  if (closing_)
    return stream_->input().consume(stream_->input().size());  // nobody heeds what follows
  // Bounds what a client can make us hold: behind a request in hand its next ones wait in the
  // kernel. While there is room more is read, so that a client that sends much and leaves is seen
  // to leave; beyond, its end is heeded without reading on.
  const bool roomy = net::buffered() <= front_.limits().buffered / 2;
  const std::size_t most =
      busy_ ? request_size_ + (roomy ? front_.limits().message_bytes : kAheadMost)
            : front_.limits().message_bytes + 1024;
  if (stream_->input().size() > most)
    stream_->pause_reading(true, busy_);
  run();
  if (stream_->open() && !busy_)
    front_.relieve();
}

void ClientConnection::flushed() {
  since_ = net::now();
  if (closing_)
    return linger();
  run();
}

// Answers may come while the request is being begun, so parsing is a loop here and not a recursion.
// Bounded: hundreds of commands written at once must not hold up the other connections; the rest
// goes on in the next turn.
void ClientConnection::run() {
  if (running_)
    return;
  running_ = true;
  std::size_t steps = 0;
  while (!busy_ && !closing_ && stream_->open() && stream_->all_written()) {
    if (steps++ == kStepsAtOnce) {
      stream_->pause_reading(true);
      resume_.after(0);
      running_ = false;
      return;
    }
    const std::size_t before = stream_->input().size();
    parse();
    if (stream_->input().size() < before)
      since_ = net::now(), spoke_ = true;
    if (!busy_ && stream_->input().size() == before)
      break;
    if (stream_->input().size() == 0)
      break;
  }
  running_ = false;
  if (!busy_ && stream_->open() && !closing_)
    stream_->pause_reading(!stream_->all_written());
}

bool ClientConnection::begin(Request request, std::size_t size) {
  if (stream_->peer_left()) {
    abandon();
    return true;
  }
  busy_ = true;
  starting_ = true;
  request_size_ = size;
  if (front_.stopping()) {
    reject(0);
    starting_ = false;
    return true;
  }
  std::string id = request.id;
  const bool taken = front_.core().begin_request(std::move(request), *this);
  starting_ = false;
  busy_ &= taken;
  if (busy_)
    request_ = std::move(id);
  return taken;
}

void ClientConnection::answered() {
  busy_ = false;
  answered_times_ = std::min<std::size_t>(answered_times_ + 1, 2);
  request_.clear();
  since_ = net::now();
  if (front_.stopping() && stream_->input().size() == 0)
    return close_when_written();
  if (!starting_)
    run();
}

const char* ClientConnection::overdue(Nanos now) const {
  if (busy_)
    return nullptr;
  if (!stream_->all_written())
    return now - since_ > kUnread ? "an answer was not taken" : nullptr;
  if (stream_->input().size() > 0)
    return now - since_ > kOwed ? "a message did not end" : nullptr;
  return !spoke_ && now - since_ > kOwed && !unread() ? "nothing was said" : nullptr;
}

void ClientConnection::turn_away(const char* why) {
  if (!closing_ && stream_->all_written())
    farewell(why);
  if (stream_->open() && !lingering_)
    close();
}

void ClientConnection::abandon() {
  if (busy_)
    front_.core().client_disconnected(request_);
  busy_ = false;
  retire();
}

void ClientConnection::retire() {
  closing_ = true;
  linger();
}

void ClientConnection::close_when_written() {
  closing_ = true;
  since_ = net::now();
  if (stream_->all_written())
    linger();
}

// Guards the last words: a close with bytes unread, or bytes that come after it, is a reset to the
// client, which may then never read what it was told; its request would be lost.
void ClientConnection::linger() {
  if (lingering_ || !stream_->open())
    return;
  lingering_ = true;
  since_ = net::now();
  stream_->input().release();
  stream_->shut();
  stream_->pause_reading(false);
  front_.linger(this);
}

void ClientConnection::close() {
  if (busy_)
    front_.core().client_disconnected(request_);
  busy_ = false;
  stream_->close();
  front_.remove(this);
}

void ClientConnection::ended(const std::string&) {
  close();
}

Frontend::Frontend(proxy::RequestBroker& core, const FrontendLimits& limits, ConnectionFactory make)
    : core_(core), limits_(limits), make_(std::move(make)), listener_(new_listener()),
      reaper_([this] {
        removed_.clear();
      }),
      sweep_([this] {
        stop_accepting();
      }),
      tidy_([this] {
        tidy();
      }),
      linger_([this] {
        end_lingering();
      }) {
  tidy_.after(connection_admission::retirement_interval(0, limits_.connections));
}

std::unique_ptr<net::Listener> Frontend::new_listener() {
  return std::make_unique<net::Listener>([this](net::SocketHandle socket) {
    accepted(std::move(socket));
  });
}

bool Frontend::listen(const std::string& address, std::string& why) {
  auto fresh = new_listener();
  if (!fresh->listen(address, why))
    return false;
  listener_->close();  // takes in what the kernel has accepted
  listener_ = std::move(fresh);
  if (connections_.size() >= limits_.connections + limits_.crowded)
    listener_->pause(true);
  return true;
}

void Frontend::set_limits(const FrontendLimits& limits) {
  limits_ = limits;
  if (listener_->open() && !stopping_)
    listener_->pause(connections_.size() >= limits_.connections + limits_.crowded);
}

void Frontend::accepted(net::SocketHandle socket) {
  const bool crowded = connections_.size() >= limits_.connections && !evict();
  auto connection = make_(*this, std::move(socket));
  connection->crowded_ = crowded;
  if (crowded)
    net::log({"client_rejected",
              {{"reason", "too_many_connections"},
               {"connections", std::to_string(connections_.size())}}});
  ClientConnection* key = connection.get();
  connections_[key] = std::move(connection);
  // Guards the spare descriptors: beyond the ones to be turned away in words, clients wait in the
  // kernel.
  if (connections_.size() >= limits_.connections + limits_.crowded)
    listener_->pause(true);
}

std::vector<connection_admission::IdleConnection>
Frontend::idle(std::vector<ClientConnection*>& which) const {
  std::vector<connection_admission::IdleConnection> idle;
  for (const auto& [connection, owned] : connections_) {
    if (!connection->idle() || connection->unread())
      continue;
    idle.push_back({which.size(), connection->since(), connection->answered_times()});
    which.push_back(connection);
  }
  return idle;
}

bool Frontend::evict() {
  std::vector<ClientConnection*> which;
  const std::vector<std::size_t> order =
      connection_admission::rank_replaceable(idle(which), net::now());
  if (order.empty())
    return false;
  which[order.front()]->retire();
  return true;
}

// What is owed an end gets it in time, and what rests makes room.
void Frontend::tidy() {
  const Nanos now = net::now();
  std::vector<std::pair<const char*, ClientConnection*>> late;
  for (const auto& [connection, owned] : connections_)
    if (const char* why = connection->overdue(now))
      late.emplace_back(why, connection);
  for (const auto& [why, connection] : late)
    connection->turn_away(why);
  std::vector<ClientConnection*> which;
  for (const connection_admission::CloseCandidate& close :
       connection_admission::rank_retirable(idle(which), now, connections_.size(), limits_.connections)) {
    if (connections_.size() <= close.above)
      continue;
    ClientConnection* connection = which[close.index];
    if (connection->answered_times() == 0)
      connection->crowded_ = true;  // told why, in the protocol's words
    connection->answered_times() == 0 ? connection->turn_away("too many connections")
                                      : connection->retire();
  }
  tidy_.after(connection_admission::retirement_interval(connections_.size(), limits_.connections));
}

void Frontend::relieve() {
  if (net::buffered() <= limits_.buffered)
    return;
  ClientConnection* largest = nullptr;
  for (const auto& [connection, owned] : connections_)
    if (!largest || connection->held() > largest->held())
      largest = connection;
  if (!largest || largest->held() == 0)
    return;
  net::log({"client_closed",
            {{"reason", "memory_limit"}, {"message_bytes", std::to_string(largest->held())}}});
  largest->turn_away("memory is short");
}

void Frontend::linger(ClientConnection* connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end())
    return;
  lingering_.push_back(std::move(found->second));
  connections_.erase(found);
  // Bounds the descriptors: the one that has had most time to take its last words goes.
  // Nothing new takes their place once the door is closed.
  if (lingering_.size() > limits_.lingering && !stopping_)
    lingering_.front()->close();
  if (!lingering_.empty())
    linger_.at(lingering_.front()->since() + kLinger);
  if (listener_->open() && !stopping_)
    listener_->pause(false);
}

void Frontend::end_lingering() {
  const Nanos now = net::now();
  while (!lingering_.empty() && now - lingering_.front()->since() >= kLinger)
    lingering_.front()->close();
  if (!lingering_.empty())
    linger_.at(lingering_.front()->since() + kLinger);
}

void Frontend::remove(ClientConnection* connection) {
  if (connection->lingering()) {
    const auto at =
        std::find_if(lingering_.begin(), lingering_.end(), [connection](const auto& owned) {
          return owned.get() == connection;
        });
    if (at == lingering_.end())
      return;
    removed_.push_back(std::move(*at));
    lingering_.erase(at);
    return reaper_.after(0);
  }
  const auto found = connections_.find(connection);
  if (found == connections_.end())
    return;
  removed_.push_back(std::move(found->second));
  connections_.erase(found);
  reaper_.after(0);
  if (listener_->open() && !stopping_)
    listener_->pause(false);
}

void Frontend::stop_accepting() {
  stopping_ = true;
  listener_->close();
  std::vector<ClientConnection*> idle;
  for (const auto& [connection, owned] : connections_)
    if (connection->idle() && !connection->unread())
      idle.push_back(connection);
  for (ClientConnection* connection : idle)
    connection->retire();
  if (!connections_.empty())
    sweep_.after(kSweep);
}

}  // namespace gorsebeam::frontend
