/// The contract between the request broker, the frontends and the upstreams.
///
/// Everything runs on one thread, the one of the main loop; no call blocks. No wire protocol shows
/// here: request and response bodies are bytes that the broker passes on.
///
/// Ownership:
///  - A frontend owns its `ClientCall`s. The broker and the upstream borrow one from
///    `RequestBroker::begin_request` until the request is complete, that is until one of the three
///    final answers or until `RequestBroker::client_disconnected`.
///  - The program owns the `Upstream`, which outlives every call that the broker makes to it. The
///    upstream owns its connections and attempts, and borrows the broker.
///
/// Order of calls:
///  - The broker starts an attempt with `Upstream::start_attempt`; the upstream ends it with
///    exactly one `RequestBroker::complete_attempt`. A request has at most one attempt in flight.
///  - The upstream asks `RequestBroker::authorize_attempt` right before it writes, and gets the
///    bytes from `ClientCall::body` if the attempt is still allowed.
///  - Each of these calls may come back into the caller before it returns: an attempt may end
///    inside `start_attempt`, and a request may be answered inside `begin_request`.
#pragma once

#include "gorsebeam/router.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gorsebeam::proxy {

/// Bytes in pieces, which are written one after the other. Borrowed from whoever gives them.
using ByteSpans = std::vector<std::string_view>;

/// Identifies an attempt between the broker and the upstream; never 0, never used again.
using AttemptId = std::uint64_t;

/// How an attempt or a health check ended. `status` tells how far it came.
struct UpstreamResponse {
  AttemptStatus status = AttemptStatus::ConnectFailed;
  Role role = Role::Unknown;
  std::optional<ReplicationPosition> replication_position;
  std::optional<ReplicationPosition>
      commit_position;  ///< Of a write, where it is not the replication position.
  LoadReport load_report;
  ByteSpans value;  ///< With `Ok`, the response body; valid only during the call that passes it.
};

/// A client's open request, owned by its frontend.
///
/// The broker calls at most one of `respond`, `reject` and `fail`, once, and does not use the call
/// afterwards: it may be destroyed or reused inside that function.
class ClientCall {
public:
  virtual ~ClientCall() = default;

  /// Whether the client has closed its connection, or its sending side, though the frontend may
  /// not have come to it yet.
  [[nodiscard]] virtual bool has_client_left() const = 0;

  /// The request body for an endpoint that is to finish within `left` nanoseconds. May be called
  /// once per attempt until the request is complete. The parts are valid until the next call of
  /// this object.
  virtual ByteSpans body(Duration left) = 0;

  /// Final answer: the response body, valid only during the call.
  virtual void respond(const ByteSpans& value) = 0;

  /// Final answer: the request did not run and may be sent again, after `retry_after` nanoseconds
  /// if that is above 0.
  virtual void reject(Duration retry_after) = 0;

  /// Final answer: the request failed, and it may have run.
  virtual void fail() = 0;
};

/// Where the endpoint list comes from, if it can have changes that are not passed on yet.
class EndpointListSource {
public:
  virtual ~EndpointListSource() = default;

  /// Passes on, by `RequestBroker::update_endpoints`, all that has arrived by now.
  virtual void read_pending() = 0;
};

/// Carries attempts and health checks to endpoints.
class Upstream {
public:
  virtual ~Upstream() = default;

  /// Makes `endpoint` reachable at `address`, "127.0.0.4:6432". May be called again, with the same
  /// address or a new one; what is in flight goes on.
  virtual void add_endpoint(EndpointId endpoint, const std::string& address) = 0;

  /// Forgets `endpoint`, which need not be known; what is in flight goes on.
  virtual void remove_endpoint(EndpointId endpoint) = 0;

  /// Sends the body of `call` to `endpoint`. Ends in one `RequestBroker::complete_attempt`, at the
  /// time `deadline` at the latest. `call` is borrowed until then, or until `detach_call`.
  virtual void start_attempt(AttemptId attempt, EndpointId endpoint, ClientCall& call,
                             TimePoint deadline) = 0;

  /// Checks `endpoint`. Ends in one `RequestBroker::complete_health_check` within a timeout of the
  /// upstream's own.
  virtual void start_health_check(EndpointId endpoint) = 0;

  /// Passes on, by `complete_attempt` and `complete_health_check`, all responses that have arrived
  /// by now.
  virtual void read_pending() = 0;

  /// Abandons an attempt whatever its progress; it ends as `Cancelled` before this returns. An
  /// attempt that ended already is ignored.
  virtual void cancel_attempt(AttemptId attempt) = 0;

  /// Gives back the `ClientCall` of an attempt, whose client left. An attempt that is not written
  /// yet must not be written any more, and ends as `NotSent`; one that is written goes on.
  virtual void detach_call(AttemptId attempt) = 0;
};

}  // namespace gorsebeam::proxy
