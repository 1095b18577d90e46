#include "front.h"

#include "net/log.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::front {
namespace {
constexpr Nanos kSecond = 1'000'000'000;
constexpr Nanos kSweep = kSecond / 20;
constexpr Nanos kTidy = kSecond / 5;
constexpr Nanos kIdleLeast = 2 * kSecond + kSecond / 20; // an idle connection is not closed before
constexpr Nanos kSilentLeast = kSecond / 5;        // one that never asked makes room for others after this
constexpr Nanos kOwed = 2 * kSecond + kSecond / 2; // an error or a close is due 3 s after connecting
constexpr Nanos kUnread = 5 * kSecond;             // an answer not taken for longer than any deadline
constexpr std::size_t kStepsAtOnce = 16;           // messages of one connection in one turn of the loop
constexpr std::size_t kAheadMost = 8 * 1024;       // bytes read behind a request in hand
} // namespace

std::uint64_t hash_name(std::string_view name) {
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : name) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return h;
}

Connection::Connection(Front& front, net::SocketHandle socket)
    : front_(front), stream_(net::Stream::adopt(std::move(socket), *this)), since_(net::now()),
      resume_([this] {
        try {
          run();
        } catch (const std::exception& error) {
          net::log_line("connection", std::string("closed after an exception: ") + error.what());
          close();
        }
      }) {}

void Connection::received() {
  if (closing_) return stream_->input().consume(stream_->input().size()); // nobody heeds what follows
  // Bounds what a client can make us hold: behind a request in hand its next ones wait in the kernel.
  const std::size_t most = busy_ ? request_size_ + kAheadMost : front_.limits().message_bytes + 1024;
  if (stream_->input().size() > most) stream_->pause_reading(true);
  run();
  if (stream_->open() && !busy_) front_.relieve();
}

void Connection::flushed() {
  since_ = net::now();
  if (closing_) return close();
  run();
}

// Answers may come while the request is being begun, so parsing is a loop here and not a recursion. Bounded: hundreds
// of commands written at once must not hold up the other connections; the rest goes on in the next turn.
void Connection::run() {
  if (running_) return;
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
    if (stream_->input().size() < before) since_ = net::now(), spoke_ = true;
    if (!busy_ && stream_->input().size() == before) break;
    if (stream_->input().size() == 0) break;
  }
  running_ = false;
  if (!busy_ && stream_->open() && !closing_) stream_->pause_reading(!stream_->all_written());
}

bool Connection::begin(Request request, std::size_t size) {
  busy_ = true;
  starting_ = true;
  request_size_ = size;
  std::string id = request.id;
  const bool taken = front_.core().take(std::move(request), *this);
  starting_ = false;
  busy_ &= taken;
  if (busy_) request_ = std::move(id);
  return taken;
}

void Connection::answered() {
  busy_ = false;
  asked_ = true;
  request_.clear();
  since_ = net::now();
  if (front_.stopping() && stream_->input().size() == 0) return close_when_written();
  if (!starting_) run();
}

const char* Connection::overdue(Nanos now) const {
  if (busy_) return nullptr;
  if (!stream_->all_written()) return now - since_ > kUnread ? "an answer was not taken" : nullptr;
  if (stream_->input().size() > 0) return now - since_ > kOwed ? "a message did not end" : nullptr;
  return !spoke_ && now - since_ > kOwed && !unread() ? "nothing was said" : nullptr;
}

void Connection::turn_away(const char* why) {
  if (!closing_ && stream_->all_written()) farewell(why);
  if (stream_->open()) close();
}

void Connection::close_when_written() {
  closing_ = true;
  since_ = net::now();
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
      reaper_([this] { removed_.clear(); }), sweep_([this] { stop_accepting(); }), tidy_([this] { tidy(); }) {
  tidy_.after(kTidy);
}

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

// Makes room for a new connection: the one idle longest goes, those that never asked anything before all others, so
// that hundreds which connect and say nothing do not crowd out the ones that ask.
bool Front::evict() {
  const Nanos now = net::now();
  std::vector<std::pair<std::pair<bool, Nanos>, Connection*>> idle;
  for (const auto& [connection, owned] : connections_)
    if (connection->idle() && now - connection->since() >= (connection->asked() ? kIdleLeast : kSilentLeast))
      idle.push_back({{connection->asked(), connection->since()}, connection});
  std::sort(idle.begin(), idle.end());
  for (const auto& [order, connection] : idle) {
    if (connection->unread()) continue;
    connection->close();
    return true;
  }
  return false;
}

// What is owed an end gets it in time. While all connections are in use, those that never asked go first, also where
// nothing is accepted any more. And beyond a quarter of what may connect, those idle for 2 s are closed: clients
// that ask once and stay must not use up the connections that others need.
void Front::tidy() {
  const Nanos now = net::now();
  const bool full = connections_.size() >= limits_.connections;
  std::vector<std::pair<Nanos, Connection*>> idle;
  std::vector<std::pair<const char*, Connection*>> late;
  for (const auto& [connection, owned] : connections_) {
    if (const char* why = connection->overdue(now))
      late.emplace_back(why, connection);
    else if (connection->idle() && !connection->asked() && full && now - connection->since() >= kSilentLeast)
      late.emplace_back("too many connections", connection);
    else if (connection->idle() && now - connection->since() >= kIdleLeast)
      idle.emplace_back(connection->since(), connection);
  }
  for (const auto& [why, connection] : late)
    if (!connection->idle() || !connection->unread()) connection->turn_away(why);
  std::sort(idle.begin(), idle.end());
  for (const auto& [since, connection] : idle)
    if (connections_.size() > limits_.connections / 4 && !connection->unread()) connection->close();
  tidy_.after(kTidy);
}

void Front::relieve() {
  if (net::buffered() <= limits_.buffered) return;
  Connection* largest = nullptr;
  for (const auto& [connection, owned] : connections_)
    if (!largest || connection->held() > largest->held()) largest = connection;
  if (!largest || largest->held() == 0) return;
  net::log_line("front", "memory is short: closed a connection that holds " +
                             std::to_string(largest->held()) + " bytes of a message");
  largest->turn_away("memory is short");
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
