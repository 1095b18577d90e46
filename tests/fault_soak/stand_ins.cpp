#include "stand_ins.h"

#include <algorithm>
#include <optional>

namespace fault_soak {

using gorsebeam::net::Stream;
using test_harness::ClientResult;
using test_harness::Request;
using test_harness::ScriptedResponse;

void World::EndpointConnection::received() {
  const auto keep_alive = shared_from_this();
  input.append(stream->input().view());
  stream->input().consume(stream->input().size());
  while (stream->open() && handle_message()) {
  }
}

bool World::EndpointConnection::handle_message() {
  const test_harness::ReplicationStatus replication{endpoint.is_primary, 0};
  const auto message = protocol().decode_endpoint_message(input, replication);
  if (!message)
    return false;
  if (message->request) {
    serve(*message->request);
    return true;
  }
  if (is_greeted)
    world.oracle_.health_check_arrived(gateway, endpoint.index, now_ms());
  const bool is_greeting = !std::exchange(is_greeted, true);
  const Millis now = now_ms();
  const bool is_late = is_greeting && now < endpoint.greets_late_until;
  if (now < endpoint.hangs_until)
    return true;
  if (!is_late) {
    stream->write({message->reply});
    return true;
  }
  world.after(world.draw(50, 1500), [self = weak_from_this(), reply = message->reply] {
    if (const auto connection = self.lock())
      connection->stream->write({reply});
  });
  return true;
}

void World::EndpointConnection::serve(const Request& request) {
  const Millis now = now_ms();
  world.settle_attempts(request.id);
  request_id = request.id;
  world.oracle_.attempt_arrived(endpoint.index, request.id, request.timeout_ms, now);
  if (now < endpoint.hangs_until)
    return;
  world.after(world.draw(1, 40), [self = weak_from_this(), request] {
    const auto connection = self.lock();
    if (connection && connection->request_id == request.id)
      connection->respond(request);
  });
}

void World::EndpointConnection::respond(const Request& request) {
  if (!stream->open())
    return;
  const test_harness::ReplicationStatus replication{endpoint.is_primary, 0};
  ScriptedResponse response = ScriptedResponse::Succeed;
  if (request.is_write && !endpoint.is_primary)
    response = ScriptedResponse::RejectNotPrimary;
  else if (world.chance(0.03))
    response = ScriptedResponse::Fail;
  else if (world.chance(0.02))
    response = ScriptedResponse::RejectOverloaded;
  else if (world.chance(0.03))
    return close();
  const bool has_run = response == ScriptedResponse::Succeed || response == ScriptedResponse::Fail;
  end_attempt(has_run ? Effect::MayHaveRun : Effect::None);
  stream->write({protocol().encode_response(response, replication, "by an endpoint")});
}

void World::EndpointConnection::end_attempt(Effect effect) {
  if (!request_id.empty())
    world.oracle_.attempt_ended(endpoint.index, std::exchange(request_id, ""), effect);
}

World::Client::Client(World& the_world, Gateway& its_gateway)
    : world(the_world), gateway(its_gateway) {}

void World::Client::connect() {
  if (world.is_over_ || !gateway.process->is_ready())
    return;
  input.clear();
  stream = Stream::connect(gateway.process->address(), *this);
  if (stream)
    stream->write({protocol().client_handshake()});
}

void World::Client::send_next() {
  if (world.is_over_ || is_resting || !request_id.empty() || !stream || !stream->open())
    return;
  const std::string id =
      "r" + std::to_string(gateway.index) + "x" + std::to_string(world.next_request_++);
  const Millis kind = world.draw(0, 9);
  request = Request{id, "any", "", static_cast<int>(world.draw(150, 2000)), false, ""};
  if (kind >= 6) {
    request.is_write = true;
    request.service_class = kind >= 9 ? "once" : "save";
    request.idempotency_key = "k" + id;
  }
  send(id);
}

void World::Client::send(const std::string& id) {
  const Millis now = now_ms();
  request.id = id;
  request_id = id;
  deadline = now + request.timeout_ms;
  const ServiceClass service_class = !request.is_write                 ? ServiceClass::Idempotent
                                     : request.service_class == "save" ? ServiceClass::Keyed
                                                                       : ServiceClass::SingleShot;
  world.oracle_.request_sent(gateway.index, id, service_class, deadline, now);
  stream->write({protocol().encode_request(request)});
  if (world.chance(0.05))
    world.after(world.draw(1, 300), [this, id] {
      if (request_id == id)
        leave();
    });
}

void World::Client::leave() {
  world.oracle_.client_left(std::exchange(request_id, ""), now_ms());
  stream->close();
  world.after(world.draw(5, 100), [this] {
    connect();
    world.after(10, [this] {
      send_next();
    });
  });
}

void World::Client::received() {
  input.append(stream->input().view());
  stream->input().consume(stream->input().size());
  while (const auto response = protocol().decode_response(input)) {
    if (request_id.empty())
      continue;  // the error of a connection that is closed
    world.oracle_.answer_received(std::exchange(request_id, ""), now_ms());
    ++world.report_.answers[response->result == ClientResult::Served     ? "served"
                            : response->result == ClientResult::Rejected ? "rejected"
                                                                         : "failed"];
    world.after(world.draw(5, 250), [this] {
      send_next();
    });
  }
}

void World::Client::ended(const std::string&) {
  const bool has_crossed =
      !request_id.empty() && world.oracle_.connection_ended(request_id, now_ms());
  const bool sends_again = has_crossed && deadline > now_ms();
  request_id.clear();
  world.after(world.draw(1, 40), [this, sends_again] {
    connect();
    if (sends_again && stream && stream->open()) {
      request.timeout_ms = static_cast<int>(std::max<Millis>(deadline - now_ms(), 20));
      send("again" + request.id);
      return;
    }
    world.after(world.draw(5, 100), [this] {
      send_next();
    });
  });
}

}  // namespace fault_soak
