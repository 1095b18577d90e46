#include "fake_peers.h"

#include <algorithm>
#include <optional>

namespace fault_soak {

using gorsebeam::net::Stream;
using test_harness::ClientResult;
using test_harness::Request;
using test_harness::ScriptedResponse;

void FaultSoakEnvironment::EndpointConnection::received() {
  const auto keep_alive = shared_from_this();
  input.append(stream->input().view());
  stream->input().consume(stream->input().size());
  while (stream->open() && handle_message()) {
  }
}

bool FaultSoakEnvironment::EndpointConnection::handle_message() {
  const test_harness::ReplicationStatus replication{endpoint.is_primary, 0};
  const auto message = protocol().decode_endpoint_message(input, replication);
  if (!message)
    return false;
  if (message->request) {
    serve(*message->request);
    return true;
  }
  if (is_handshake_complete)
    environment.oracle_.health_check_arrived(gateway, endpoint.index, now_ms());
  const bool is_handshake = !std::exchange(is_handshake_complete, true);
  const Millis now = now_ms();
  const bool is_late = is_handshake && now < endpoint.delays_handshakes_until;
  if (now < endpoint.hangs_until)
    return true;
  if (!is_late) {
    stream->write({message->reply});
    return true;
  }
  environment.after(environment.draw(50, 1500), [self = weak_from_this(), reply = message->reply] {
    if (const auto connection = self.lock())
      connection->stream->write({reply});
  });
  return true;
}

void FaultSoakEnvironment::EndpointConnection::serve(const Request& request) {
  const Millis now = now_ms();
  environment.end_closed_attempts(request.id);
  request_id = request.id;
  environment.oracle_.attempt_arrived(endpoint.index, request.id, request.timeout_ms, now);
  if (now < endpoint.hangs_until)
    return;
  environment.after(environment.draw(1, 40), [self = weak_from_this(), request] {
    const auto connection = self.lock();
    if (connection && connection->request_id == request.id)
      connection->respond(request);
  });
}

void FaultSoakEnvironment::EndpointConnection::respond(const Request& request) {
  if (!stream->open())
    return;
  const test_harness::ReplicationStatus replication{endpoint.is_primary, 0};
  ScriptedResponse response = ScriptedResponse::Succeed;
  if (request.is_write && !endpoint.is_primary)
    response = ScriptedResponse::RejectNotPrimary;
  else if (environment.draw_bool(0.03))
    response = ScriptedResponse::Fail;
  else if (environment.draw_bool(0.02))
    response = ScriptedResponse::RejectOverloaded;
  else if (environment.draw_bool(0.03))
    return close();
  const bool has_run = response == ScriptedResponse::Succeed || response == ScriptedResponse::Fail;
  end_attempt(has_run ? Effect::MayHaveRun : Effect::None);
  stream->write({protocol().encode_response(response, replication, "by an endpoint")});
}

void FaultSoakEnvironment::EndpointConnection::end_attempt(Effect effect) {
  if (!request_id.empty())
    environment.oracle_.attempt_ended(endpoint.index, std::exchange(request_id, ""), effect);
}

FaultSoakEnvironment::FakeClient::FakeClient(FaultSoakEnvironment& the_environment,
                                             Gateway& its_gateway)
    : environment(the_environment), gateway(its_gateway) {}

void FaultSoakEnvironment::FakeClient::connect() {
  if (environment.is_over_ || !gateway.process->is_ready())
    return;
  input.clear();
  stream = Stream::connect(gateway.process->address(), *this);
  if (stream)
    stream->write({protocol().client_handshake()});
}

void FaultSoakEnvironment::FakeClient::send_next() {
  if (environment.is_over_ || is_idle || !request_id.empty() || !stream || !stream->open())
    return;
  const std::string id =
      "r" + std::to_string(gateway.index) + "x" + std::to_string(environment.next_request_++);
  const Millis kind = environment.draw(0, 9);
  request = Request{id, "any", "", static_cast<int>(environment.draw(150, 2000)), false, ""};
  if (kind >= 6) {
    request.is_write = true;
    request.service_class = kind >= 9 ? "once" : "save";
    request.idempotency_key = "k" + id;
  }
  send(id);
}

void FaultSoakEnvironment::FakeClient::send(const std::string& id) {
  const Millis now = now_ms();
  request.id = id;
  request_id = id;
  deadline = now + request.timeout_ms;
  const ServiceClass service_class = !request.is_write                 ? ServiceClass::Idempotent
                                     : request.service_class == "save" ? ServiceClass::Keyed
                                                                       : ServiceClass::SingleShot;
  environment.oracle_.request_sent(gateway.index, id, service_class, deadline, now);
  stream->write({protocol().encode_request(request)});
  if (environment.draw_bool(0.05))
    environment.after(environment.draw(1, 300), [this, id] {
      if (request_id == id)
        disconnect();
    });
}

void FaultSoakEnvironment::FakeClient::disconnect() {
  environment.oracle_.client_disconnected(std::exchange(request_id, ""), now_ms());
  stream->close();
  environment.after(environment.draw(5, 100), [this] {
    connect();
    environment.after(10, [this] {
      send_next();
    });
  });
}

void FaultSoakEnvironment::FakeClient::received() {
  input.append(stream->input().view());
  stream->input().consume(stream->input().size());
  while (const auto response = protocol().decode_response(input)) {
    if (request_id.empty())
      continue;  // the error of a connection that is closed
    environment.oracle_.response_received(std::exchange(request_id, ""), now_ms());
    ++environment.report_.result_counts[response->result == ClientResult::Served     ? "served"
                                        : response->result == ClientResult::Rejected ? "rejected"
                                                                                     : "failed"];
    environment.after(environment.draw(5, 250), [this] {
      send_next();
    });
  }
}

void FaultSoakEnvironment::FakeClient::ended(const std::string&) {
  const bool has_crossed =
      !request_id.empty() && environment.oracle_.connection_ended(request_id, now_ms());
  const bool sends_again = has_crossed && deadline > now_ms();
  request_id.clear();
  environment.after(environment.draw(1, 40), [this, sends_again] {
    connect();
    if (sends_again && stream && stream->open()) {
      request.timeout_ms = static_cast<int>(std::max<Millis>(deadline - now_ms(), 20));
      send("again" + request.id);
      return;
    }
    environment.after(environment.draw(5, 100), [this] {
      send_next();
    });
  });
}

}  // namespace fault_soak
