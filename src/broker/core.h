// The core: carries requests, attempts, probes, lists and timers between fronts, upstreams and the
// module, which makes every decision. Knows no wire.
#pragma once

#include "net/timer.h"
#include "ports.h"

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace gorsebeam::broker {

struct Listed {  // one member, as discovery or an inventory names it
  std::string name;
  std::string address;
  Member member;  // its id is given by the core
};

class Core {
public:
  Core(const Settings& settings, std::uint64_t seed);

  void attach(Upstream& upstream) { upstream_ = &upstream; }

  // Fronts. `request.id` is the client's. False, and nothing was done, where it is open already or
  // is no fit id. The answer may come at once.
  bool take(Request request, Call& call);
  void gone(const std::string& id);  // the client went away; the call is not used again

  // Upstreams.
  void ended(AttemptId attempt, const Answer& answer);
  void probed(MemberId member, const Answer& answer);
  // Asked at the moment of writing: whether what was decided before still holds; else it ends as
  // NotSent.
  bool may_write(AttemptId attempt);

  bool may_probe(MemberId member) const { return router_.may_probe(member); }

  // Discovery and inventories.
  void list(MemberList::Kind kind, const std::vector<Listed>& members);

  std::size_t open_requests() const { return open_; }

  const Settings& settings() const { return settings_; }

  // While one stands, events wait; the module has them when the last is gone. Lets a connection be
  // put back for use, and an answer be written, before the module asks for the next send.
  class Hold {
  public:
    explicit Hold(Core& core) : core_(core) { ++core_.held_; }

    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;

    ~Hold() {
      if (--core_.held_ == 0)
        core_.pump();
    }

  private:
    Core& core_;
  };

private:
  struct Job {
    Call* call = nullptr;  // null once concluded
    std::uint32_t attempts = 0;
    AttemptId out = 0;
    Nanos deadline = 0;
  };

  struct Attempt {
    std::string id;
    std::uint32_t number = 0;
    MemberId member = 0;
    Nanos sent_at = 0;
  };

  void pump();
  void perform(const Action& action);
  void send(const Send& action);
  void conclude(const std::string& id);
  void forget(const std::string& id);
  MemberId id_of(const std::string& name);
  void forget_member(MemberId id);  // one that id_of knows

  Settings settings_;
  Router router_;
  Upstream* upstream_ = nullptr;
  net::Timer timer_;
  std::deque<Event> events_;
  std::vector<Action> actions_;
  bool pumping_ = false;
  int held_ = 0;
  std::unordered_map<std::string, Job> jobs_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::map<std::string, MemberId> ids_;
  std::map<MemberId, std::string> names_;
  std::map<MemberId, Nanos> probing_;
  AttemptId next_attempt_ = 1;
  std::size_t open_ = 0;
};

}  // namespace gorsebeam::broker
