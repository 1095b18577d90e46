// The core: carries requests, attempts, probes, lists and timers between fronts, upstreams and the
// module, which makes every decision. Knows no wire.
#pragma once

#include "interfaces.h"
#include "net/timer.h"

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace gorsebeam::proxy {

struct ListedEndpoint {  // one member, as discovery or an inventory names it
  std::string name;
  std::string address;
  Endpoint endpoint;  // its id is given by the core
};

class RequestBroker {
public:
  RequestBroker(const Settings& settings, std::uint64_t seed);

  void attach(Upstream& upstream) { upstream_ = &upstream; }

  // Fronts. `request.id` is the client's. False, and nothing was done, where it is open already or
  // is no fit id. The answer may come at once.
  bool begin_request(Request request, ClientCall& call);
  void
  client_disconnected(const std::string& id);  // the client went away; the call is not used again

  // Upstreams.
  void complete_attempt(AttemptId attempt, const UpstreamResponse& answer);
  void complete_health_check(EndpointId member, const UpstreamResponse& answer);
  // Asked at the moment of writing: whether what was decided before still holds; else it ends as
  // NotSent.
  bool is_attempt_allowed(AttemptId attempt);

  bool is_health_check_allowed(EndpointId member) const {
    return router_.is_health_check_allowed(member);
  }

  // Discovery and inventories.
  void update_endpoints(EndpointList::Kind kind, const std::vector<ListedEndpoint>& members);

  std::size_t open_requests() const { return open_; }

  const Settings& settings() const { return settings_; }

  // While one stands, events wait; the module has them when the last is gone. Lets a connection be
  // put back for use, and an answer be written, before the module asks for the next send.
  class EventBatch {
  public:
    explicit EventBatch(RequestBroker& core) : core_(core) { ++core_.held_; }

    EventBatch(const EventBatch&) = delete;
    EventBatch& operator=(const EventBatch&) = delete;

    ~EventBatch() {
      if (--core_.held_ == 0)
        core_.pump();
    }

  private:
    RequestBroker& core_;
  };

private:
  struct Job {
    ClientCall* call = nullptr;  // null once concluded
    std::uint32_t attempts = 0;
    AttemptId out = 0;
    Nanos deadline = 0;
  };

  struct Attempt {
    std::string id;
    std::uint32_t number = 0;
    EndpointId member = 0;
    Nanos sent_at = 0;
  };

  void pump();
  void perform(const Action& action);
  void send(const StartAttempt& action);
  void complete_request(const std::string& id);
  void forget(const std::string& id);
  EndpointId id_of(const std::string& name);
  void forget_member(EndpointId id);  // one that id_of knows

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
  std::map<std::string, EndpointId> ids_;
  std::map<EndpointId, std::string> names_;
  std::map<EndpointId, Nanos> probing_;
  AttemptId next_attempt_ = 1;
  std::size_t open_ = 0;
};

}  // namespace gorsebeam::proxy
