/// The interfaces between the request broker, the frontends, the upstream and the source of the
/// endpoint list.
///
/// All functions run on the event loop's thread and do not block. The interfaces do not depend on a
/// wire protocol: request and response bodies are bytes.
///
/// Ownership:
///  - A frontend owns its `ClientCall`s. The broker and the upstream borrow a call from
///    `RequestBroker::begin_request` until the request is complete, that is until one of the three
///    final answers or until `RequestBroker::client_disconnected`.
///  - The program owns the `Upstream`, which outlives every call that the broker makes to it. The
///    upstream owns its connections, and borrows the broker.
///
/// Order of calls:
///  - The broker starts an attempt with `Upstream::start_attempt`; the upstream ends it with
///    exactly one `RequestBroker::complete_attempt`. A request has at most one attempt in flight.
///  - The upstream calls `RequestBroker::authorize_attempt` immediately before it writes, and gets
///    the bytes from `ClientCall::body` if the attempt is authorized.
///  - Each function can call back into its caller before it returns: an attempt can end inside
///    `start_attempt`, and a request can get its final answer inside `begin_request`.
#pragma once

#include "gorsebeam/router.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gorsebeam::proxy {

/// Pieces of bytes that are written one after the other. They are borrowed from the object that
/// returns them.
using ByteSpans = std::vector<std::string_view>;

/// Identifies an attempt between the broker and the upstream. An id is never 0 and never reused.
using AttemptId = std::uint64_t;

/// How an attempt or a health check ended.
struct UpstreamResponse {
  AttemptStatus status = AttemptStatus::ConnectFailed;
  Role role = Role::Unknown;
  std::optional<ReplicationPosition> replication_position;
  /// The commit position of a write, if it differs from `replication_position`.
  std::optional<ReplicationPosition> commit_position;
  LoadReport load_report;
  /// The response body, if `status` is `Ok`. It is valid during the call that passes it.
  ByteSpans body;
};

/// A client's open request, owned by its frontend.
///
/// The broker calls at most one of `respond`, `reject` and `fail`, once, and does not use the call
/// afterwards: the frontend may destroy or reuse it inside that function.
class ClientCall {
public:
  virtual ~ClientCall() = default;

  /// Whether the client has closed its connection or its sending side, even if the frontend has not
  /// handled that yet, or may have without that being noticed. Costs a system call or two.
  [[nodiscard]] virtual bool may_have_disconnected() const = 0;

  /// Returns the request body for an endpoint that must answer within `left`. Called at most once
  /// for each attempt, until the request is complete. The parts are valid until the next call of a
  /// function of this object.
  virtual ByteSpans body(Duration left) = 0;

  /// Gives the final answer: the response, whose `body` is valid during the call.
  virtual void respond(const ByteSpans& body) = 0;

  /// Gives the final answer: the client can safely send the request again, after `retry_after` if
  /// that is above 0.
  virtual void reject(Duration retry_after) = 0;

  /// Gives the final answer: the request failed and may have run.
  virtual void fail() = 0;
};

/// A source of the endpoint list that can hold changes which the broker has not received yet.
class EndpointListSource {
public:
  virtual ~EndpointListSource() = default;

  /// Reads all changes that have arrived, and passes them to `RequestBroker::update_endpoints`.
  virtual void read_pending() = 0;
};

/// Carries attempts and health checks to endpoints.
class Upstream {
public:
  virtual ~Upstream() = default;

  /// Makes `endpoint` reachable at `address`, such as "127.0.0.4:6432". Can be called again, with
  /// the same address or a new one; attempts in flight continue.
  virtual void add_endpoint(EndpointId endpoint, const std::string& address) = 0;

  /// Removes `endpoint`; attempts in flight continue. Ignored if it is not known.
  virtual void remove_endpoint(EndpointId endpoint) = 0;

  /// Sends the body of `call` to `endpoint`. Ends in one `RequestBroker::complete_attempt`, by
  /// `deadline` at the latest. `call` is borrowed until then or until `detach_call`.
  virtual void start_attempt(AttemptId attempt, EndpointId endpoint, ClientCall& call,
                             TimePoint deadline) = 0;

  /// Sends a health check to `endpoint`. Ends in one `RequestBroker::complete_health_check`, within
  /// a timeout that the upstream sets.
  virtual void start_health_check(EndpointId endpoint) = 0;

  /// Reads all responses that have arrived, and passes them to `RequestBroker::complete_attempt`
  /// and `RequestBroker::complete_health_check`.
  virtual void read_pending() = 0;

  /// Cancels an attempt in any state; it ends as `Cancelled` before this returns. Ignored if the
  /// attempt has ended.
  virtual void cancel_attempt(AttemptId attempt) = 0;

  /// Tells the upstream that the client of an attempt disconnected; the upstream must not use the
  /// attempt's `ClientCall` again. An attempt that is not written yet must not be written, and ends
  /// as `NotSent`; one that is written continues. Ignored if the attempt has ended.
  virtual void detach_call(AttemptId attempt) = 0;
};

}  // namespace gorsebeam::proxy
