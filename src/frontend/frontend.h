// What every front shares: accepting within bounds, one request at a time on a connection, and the
// end after SIGTERM. A protocol's connection derives from Connection.
#pragma once

#include "connection_admission/connection_admission.h"
#include "net/listener.h"
#include "net/stream.h"
#include "net/timer.h"
#include "proxy/request_broker.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gorsebeam::frontend {

class Frontend;

// FNV-1a: what sessions are told apart by where their names are no numbers. All gateways hash
// alike.
std::uint64_t hash_name(std::string_view name);

class ClientConnection : public net::Stream::Events, public proxy::ClientCall {
public:
  ClientConnection(Frontend& front, net::SocketHandle socket);
  ~ClientConnection() override = default;

  bool idle() const { return !busy_ && stream_->input().size() == 0 && stream_->all_written(); }

  bool unread() const { return stream_->readable(); }

  bool lingering() const { return lingering_; }  // its last words are with the kernel

  std::size_t answered_times() const { return answered_times_; }  // 2 stands for more

  Nanos since() const {
    return since_;
  }  // when it last moved on: came, sent, was answered or took an answer

  std::size_t held() const { return busy_ ? 0 : stream_->held(); }

  // Why it is to be closed: nothing said, half a message, an answer not taken. Nothing where it is
  // fine.
  const char* overdue(Nanos now) const;
  void turn_away(const char* why);  // told in the protocol's words if that goes at once, and closed
  void retire();                    // one that is idle: its sending side ends, and it lingers
  void close();                     // now; a request in hand goes with it

protected:
  // Consumes what it can of the input, until it needs more bytes or has begun a request. Called
  // again after.
  virtual void parse() = 0;

  // Turned away at the door: to be told in the protocol's words once it has said hello.
  bool crowded() const { return crowded_; }

  // Told and closed: the last words of a connection that broke the protocol or took too long.
  virtual void farewell(const char* why) = 0;

  // Hands the request to the core; it stands in the input's first `size` bytes. False: its id is
  // open already. Once the door is closed it is refused, and one whose client has left meanwhile
  // ends with its connection: neither is sent on.
  bool begin(Request request, std::size_t size);
  void answered();  // its answer is written
  // What is written is its last words. It then lingers: the sending side ends, and what the client
  // had on the way is read and dropped until it hangs up.
  void close_when_written();

  Frontend& front_;
  std::shared_ptr<net::Stream> stream_;

private:
  friend class Frontend;
  void received() final;
  void flushed() final;
  void ended(const std::string& why) final;

  void left() final { abandon(); }

  void run();
  void linger();
  void abandon();  // the client has left: what it asked ends unanswered; what was written to it
                   // stays its own

  std::string request_;
  std::size_t request_size_ = 0;
  bool busy_ = false, closing_ = false, crowded_ = false, running_ = false, starting_ = false,
       lingering_ = false;
  bool spoke_ = false;  // something it sent could be read
  std::size_t answered_times_ = 0;
  Nanos since_ = 0;
  net::Timer resume_;
};

struct FrontendLimits {
  std::size_t connections = 480;  // served at once
  std::size_t crowded = 32;       // accepted beyond that, to be turned away in words
  std::size_t lingering = 32;     // told their last words, and not yet closed
  std::size_t message_bytes = 256 * 1024;
  std::size_t buffered = 16 << 20;  // by all connections together, members' too
};

class Frontend {
public:
  using ConnectionFactory =
      std::function<std::unique_ptr<ClientConnection>(Frontend&, net::SocketHandle)>;
  Frontend(proxy::RequestBroker& core, const FrontendLimits& limits, ConnectionFactory make);
  // Also while it listens elsewhere: then the old address is given up once the new one stands;
  // connections go on.
  bool listen(const std::string& address, std::string& why);

  std::string address() const { return listener_->address(); }

  // The door closes: takes no more connections and sends no more requests on; retires each
  // connection that is between requests, or as soon as it is. What was on the way is refused in
  // words where that can still be told.
  void stop_accepting();

  bool stopping() const { return stopping_; }

  bool empty() const { return connections_.empty() && lingering_.empty(); }

  proxy::RequestBroker& core() { return core_; }

  const FrontendLimits& limits() const { return limits_; }

  void set_limits(const FrontendLimits&
                      limits);  // from now on; what is connected beyond them is retired as it rests
  void remove(ClientConnection* connection);
  void linger(ClientConnection* connection);
  void relieve();  // called as input grows: over the bound, the largest half-sent message goes

private:
  std::unique_ptr<net::Listener> new_listener();
  void accepted(net::SocketHandle socket);
  std::vector<connection_admission::IdleConnection>
  idle(std::vector<ClientConnection*>& which) const;  // with nothing unread
  bool evict();
  void tidy();
  void end_lingering();

  proxy::RequestBroker& core_;
  FrontendLimits limits_;
  ConnectionFactory make_;
  std::unique_ptr<net::Listener> listener_;
  std::map<ClientConnection*, std::unique_ptr<ClientConnection>> connections_;
  std::vector<std::unique_ptr<ClientConnection>> removed_;
  std::list<std::unique_ptr<ClientConnection>> lingering_;  // the one that began first is first
  net::Timer reaper_, sweep_, tidy_, linger_;
  bool stopping_ = false;
};

}  // namespace gorsebeam::frontend
