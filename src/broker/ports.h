// What the core asks of a front and of an upstream. No wire shows here: bodies are bytes that the
// core passes on.
#pragma once

#include "gorsebeam/router.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gorsebeam::broker {

using Parts = std::vector<std::string_view>;
using AttemptId = std::uint64_t;

// How an attempt ended, as a value: `result` tells how far it had come.
struct Answer {
  Result result = Result::NoConnection;
  Role role = Role::Unknown;
  std::optional<Nanos> position;
  std::optional<Nanos> commit;  // of a write, where it is not the position
  Report report;
  Parts value;  // Ok: what the member gave, good only while the call that hands it over lasts
};

// A client's request, as its front keeps it. The core asks for the body until the request is
// concluded: by one of the three final answers, or by Core::gone.
class Call {
public:
  virtual ~Call() = default;
  virtual Parts
  body(Nanos left) = 0;  // as it goes to a member that is told to be done within `left`
  virtual void served(const Parts& value) = 0;
  virtual void refused(Nanos retry_after) = 0;  // trying again is harmless
  virtual void failed() = 0;                    // promises nothing
};

class Upstream {
public:
  virtual ~Upstream() = default;
  virtual void listed(MemberId member, const std::string& address) = 0;
  virtual void removed(MemberId member) = 0;
  // Both end in one call to the core, at `until` at the latest: Core::ended, Core::probed.
  virtual void send(AttemptId attempt, MemberId member, Call& call, Nanos until) = 0;
  virtual void probe(MemberId member) = 0;
  virtual void cancel(AttemptId attempt) = 0;  // gives it up, whatever it has come to
  virtual void
  withdraw(AttemptId attempt) = 0;  // its call ends now: not to be written if it is not yet
};

}  // namespace gorsebeam::broker
