// Connections to members: opened as needed, one request at a time on each, kept for the next,
// retired before the member would close them. The same for every protocol; a Wire holds what
// differs.
#pragma once

#include "broker/core.h"
#include "net/stream.h"
#include "wire.h"

#include <array>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace gorsebeam::upstream {

struct Limits {
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
class Rests {
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

class Pool : public broker::Upstream {
public:
  Pool(broker::Core& core, WireFactory wire, const Limits& limits);
  ~Pool() override;
  void listed(MemberId member, const std::string& address) override;
  void removed(MemberId member) override;
  void send(broker::AttemptId attempt, MemberId member, broker::Call& call, Nanos until) override;
  void probe(MemberId member) override;
  void cancel(broker::AttemptId attempt) override;
  void withdraw(broker::AttemptId attempt) override;

  std::size_t connections() const { return links_.size(); }

  const Limits& limits() const { return limits_; }

  void set_limits(const Limits& limits) { limits_ = limits; }  // for what is opened from now on

private:
  class Link;

  struct Host {
    std::string address;
    std::vector<Link*> idle;  // the one used last at the end
    std::size_t links = 0;
  };

  struct Errand {  // what a connection is used for: an attempt, or a probe
    broker::AttemptId attempt = 0;
    broker::Call* call = nullptr;
    Nanos until = 0;
    bool probe = false;
  };

  void start(MemberId member, const Errand& errand);
  Link* take_idle(Host& host);
  bool make_room(MemberId member);
  void report(MemberId member, const Errand& errand, const broker::Answer& answer);
  void drop(Link* link);         // closes and forgets it
  void forget(MemberId member);  // a removed one, with its last connection

  broker::Core& core_;
  WireFactory wire_;
  Limits limits_;
  std::map<MemberId, Host> hosts_;
  std::unordered_map<Link*, std::unique_ptr<Link>> links_;
  std::unordered_map<broker::AttemptId, Link*> attempts_;
  Rests rests_;
  std::list<std::unique_ptr<Link>> dropped_;  // kept until their callbacks have returned
  net::Timer reaper_;
};

}  // namespace gorsebeam::upstream
