// What the core asks of a front and of an upstream. No wire shows here: bodies are bytes that the
// core passes on.
#pragma once

#include "gorsebeam/router.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gorsebeam::proxy {

using Parts = std::vector<std::string_view>;
using AttemptId = std::uint64_t;

// How an attempt ended, as a value: `result` tells how far it had come.
struct UpstreamResponse {
  AttemptStatus status = AttemptStatus::ConnectFailed;
  Role role = Role::Unknown;
  std::optional<Nanos> replication_position;
  std::optional<Nanos> commit_position;  // of a write, where it is not the position
  LoadReport load_report;
  Parts value;  // Ok: what the member gave, good only while the call that hands it over lasts
};

// A client's request, as its front keeps it. The core asks for the body until the request is
// concluded: by one of the three final answers, or by Core::gone.
class ClientCall {
public:
  virtual ~ClientCall() = default;
  virtual Parts
  body(Nanos left) = 0;  // as it goes to a member that is told to be done within `left`
  virtual void respond(const Parts& value) = 0;
  virtual void reject(Nanos retry_after) = 0;  // trying again is harmless
  virtual void fail() = 0;                     // promises nothing
};

class Upstream {
public:
  virtual ~Upstream() = default;
  virtual void add_endpoint(EndpointId member, const std::string& address) = 0;
  virtual void remove_endpoint(EndpointId member) = 0;
  // Both end in one call to the core, at `until` at the latest: Core::ended, Core::probed.
  virtual void start_attempt(AttemptId attempt, EndpointId member, ClientCall& call,
                             Nanos until) = 0;
  virtual void start_health_check(EndpointId member) = 0;
  virtual void cancel_attempt(AttemptId attempt) = 0;  // gives it up, whatever it has come to
  virtual void
  detach_call(AttemptId attempt) = 0;  // its call ends now: not to be written if it is not yet
};

}  // namespace gorsebeam::proxy
