// Connections to members: opened as needed, one request at a time on each, kept for the next,
// retired before the member would close them. The same for every protocol; a Wire holds what
// differs.
#pragma once

#include "net/stream.h"
#include "proxy/request_broker.h"
#include "upstream_protocol.h"

#include <array>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace gorsebeam::connection_pool {

struct PoolLimits {
  Nanos connect_timeout = 250'000'000;
  Nanos keepalive = 30'000'000'000;  // a member closes a connection idle for this long
  std::size_t connections = 400;     // over all members
  std::size_t per_member = 150;
  std::size_t answer_bytes = 256 * 1024;
  std::size_t buffered = 32 << 20;  // by all connections together, clients' too
};

// How kept connections fared by how long they had rested. Guards against a way, or members, that
// forget resting connections long before the settings say: each request on such a one ends as a
// reset and may have run.
class IdleLifetimeEstimator {
public:
  void count(Nanos rest, bool broke);
  Nanos limit();  // a connection that rested for so long is not used again

private:
  struct Span {
    double used = 0, broke = 0;  // fading
  };

  void fade();

  std::array<Span, 8> spans_;  // each twice as long as the one before
  Nanos faded_at_ = 0;
};

class ConnectionPool : public proxy::Upstream {
public:
  ConnectionPool(proxy::RequestBroker& core, WireFactory wire, const PoolLimits& limits);
  ~ConnectionPool() override;
  void add_endpoint(EndpointId member, const std::string& address) override;
  void remove_endpoint(EndpointId member) override;
  void start_attempt(proxy::AttemptId attempt, EndpointId member, proxy::ClientCall& call,
                     Nanos until) override;
  void start_health_check(EndpointId member) override;
  void cancel_attempt(proxy::AttemptId attempt) override;
  void detach_call(proxy::AttemptId attempt) override;

  std::size_t connections() const { return links_.size(); }

  const PoolLimits& limits() const { return limits_; }

  void set_limits(const PoolLimits& limits) { limits_ = limits; }  // for what is opened from now on

private:
  class Connection;

  struct Host {
    std::string address;
    std::vector<Connection*> idle;  // the one used last at the end
    std::size_t links = 0;
  };

  struct PendingUse {  // what a connection is used for: an attempt, or a probe
    proxy::AttemptId attempt = 0;
    proxy::ClientCall* call = nullptr;
    Nanos until = 0;
    bool probe = false;
  };

  void start(EndpointId member, const PendingUse& errand);
  Connection* take_idle(Host& host);
  bool make_room(EndpointId member);
  void report(EndpointId member, const PendingUse& errand, const proxy::UpstreamResponse& answer);
  void drop(Connection* link);     // closes and forgets it
  void forget(EndpointId member);  // a removed one, with its last connection

  proxy::RequestBroker& core_;
  WireFactory wire_;
  PoolLimits limits_;
  std::map<EndpointId, Host> hosts_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> links_;
  std::unordered_map<proxy::AttemptId, Connection*> attempts_;
  IdleLifetimeEstimator rests_;
  std::list<std::unique_ptr<Connection>> dropped_;  // kept until their callbacks have returned
  net::Timer reaper_;
};

}  // namespace gorsebeam::connection_pool
