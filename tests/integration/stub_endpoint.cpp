#include "stub_endpoint.h"

#include "event_wait.h"
#include "test_harness.h"

#include "net/stream.h"

#include <algorithm>
#include <glib.h>
#include <utility>

namespace test_harness {

using gorsebeam::net::SocketHandle;
using gorsebeam::net::Stream;

struct StubEndpoint::Connection : Stream::Events {
  Connection(StubEndpoint& owner, SocketHandle socket)
      : endpoint(owner), stream(Stream::adopt(std::move(socket), *this)) {}

  void received() override {
    if (close_after_idle_time())
      return;
    input.append(stream->input().view());
    stream->input().consume(stream->input().size());
    while (handle_message()) {
    }
  }

  void ended(const std::string&) override { end_attempt(); }

  bool close_after_idle_time() {
    const gint64 now = g_get_monotonic_time();
    const gint64 idle_time = now - std::exchange(last_used_at, now);
    if (endpoint.idle_close_ms == 0 || idle_time < endpoint.idle_close_ms * gint64{1000})
      return false;
    ++endpoint.idle_close_count;
    stream->close();
    return true;
  }

  bool handle_message() {
    const auto message =
        endpoint.harness_.protocol.decode_endpoint_message(input, endpoint.replication);
    if (!message)
      return false;
    std::string reply = message->request ? respond(*message->request) : message->reply;
    if (!message->request && is_handshake_complete && !message->is_empty_query)
      ++endpoint.health_check_count;
    if (!std::exchange(is_handshake_complete, true) && endpoint.pauses_handshakes)
      paused_handshake_reply = std::exchange(reply, "");
    if (!stream->is_open())
      return false;
    if (!reply.empty())
      stream->write({reply});
    last_used_at = g_get_monotonic_time();
    return true;
  }

  [[nodiscard]] ScriptedResponse next_response(const Request& request) const {
    if (request.is_write && !endpoint.replication.is_primary)
      return ScriptedResponse::RejectNotPrimary;  // whatever the script says
    std::deque<ScriptedResponse>& script = endpoint.harness_.script;
    if (script.empty())
      return ScriptedResponse::Succeed;
    const ScriptedResponse response = script.front();
    script.pop_front();
    return response;
  }

  std::string respond(const Request& request) {
    GatewayHarness& harness = endpoint.harness_;
    ++endpoint.request_count;
    for (const auto& earlier : harness.attempts)
      if (earlier.request.id == request.id && earlier.in_flight)
        report_callback_failure("request " + request.id + " has attempts in flight at " +
                                earlier.endpoint->name + " and " + endpoint.name + " at once");
    const ScriptedResponse response = next_response(request);
    const bool may_have_run = response != ScriptedResponse::RejectNotPrimary &&
                              response != ScriptedResponse::RejectOverloaded;
    harness.attempts.push_back({request, &endpoint, true, may_have_run});
    attempt_number = harness.attempts.size();
    if (response == ScriptedResponse::NoResponse)
      return "";
    end_attempt();
    if (response == ScriptedResponse::CloseConnection) {
      stream->close();
      return "";
    }
    std::string value = "by " + endpoint.name;
    value.resize(std::max(value.size(), endpoint.min_value_bytes), '.');
    const std::string encoded =
        harness.protocol.encode_response(response, endpoint.replication, value);
    const std::string previous = std::exchange(last_response, encoded);
    return response == ScriptedResponse::RepeatPrevious ? previous + encoded : encoded;
  }

  void end_attempt() {
    if (attempt_number > 0)
      endpoint.harness_.attempts[attempt_number - 1].in_flight = false;
    attempt_number = 0;
  }

  StubEndpoint& endpoint;
  std::shared_ptr<Stream> stream;
  std::string input;
  std::string paused_handshake_reply;
  std::string last_response;  ///< Empty before the first response.
  bool is_handshake_complete = false;
  std::size_t attempt_number = 0;  ///< 1 + index in GatewayHarness::attempts; 0: none in flight.
  gint64 last_used_at = g_get_monotonic_time();
};

StubEndpoint::StubEndpoint(GatewayHarness& harness, std::string endpoint_name,
                           EndpointRole listed_role, EndpointRole actual_role)
    : name(std::move(endpoint_name)),
      listed_as_primary(listed_role == EndpointRole::Primary), replication{actual_role ==
                                                                           EndpointRole::Primary},
      harness_(harness), listener_([this](SocketHandle socket) {
        accept(std::move(socket));
      }) {
  const auto error = listener_.listen("127.0.0.1:0");
  require(!error, error ? "endpoint " + name + " cannot listen on 127.0.0.1:0: " + error->message
                        : std::string());
  address = listener_.address();
}

void StubEndpoint::accept(SocketHandle socket) {
  connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
}

int StubEndpoint::open_connection_count() const {
  return static_cast<int>(
      std::count_if(connections_.begin(), connections_.end(), [](const auto& connection) {
        return connection->stream->is_open();
      }));
}

void StubEndpoint::await_connections_closed() const {
  wait_until(
      [this] {
        return open_connection_count() == 0;
      },
      "the connections to endpoint " + name + " to be closed");
}

std::size_t StubEndpoint::paused_handshake_count() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(), [](const auto& connection) {
        return connection->stream->is_open() && !connection->paused_handshake_reply.empty();
      }));
}

void StubEndpoint::resume_handshakes() {
  pauses_handshakes = false;
  for (const auto& connection : connections_)
    if (connection->stream->is_open() && !connection->paused_handshake_reply.empty())
      connection->stream->write({std::exchange(connection->paused_handshake_reply, "")});
}

void StubEndpoint::respond_to_open_attempts(ScriptedResponse response) {
  for (const auto& connection : connections_) {
    if (connection->attempt_number == 0)
      continue;
    connection->end_attempt();
    connection->stream->write(
        {harness_.protocol.encode_response(response, replication, "by " + name)});
  }
}

void StubEndpoint::send_unsolicited(const std::string& bytes) {
  for (const auto& connection : connections_)
    if (connection->stream->is_open())
      connection->stream->write({bytes});
}

void StubEndpoint::close_connections() {
  for (const auto& connection : connections_) {
    connection->stream->close();
    connection->end_attempt();
  }
}

void StubEndpoint::shut_down() {
  listener_.close();
  close_connections();
}

}  // namespace test_harness
