#include "fake_client.h"

#include <algorithm>
#include <utility>

namespace fault_soak {

using gorsebeam::net::Stream;
using test_harness::ClientResult;
using test_harness::postgres;
using test_harness::Request;

namespace {

const char* result_name(ClientResult result) {
  switch (result) {
  case ClientResult::Served:
    return "served";
  case ClientResult::Rejected:
    return "rejected";
  case ClientResult::Failed:
    break;
  }
  return "failed";
}

// Maps a number between 0 and 19 to a class: of twenty requests, sixteen are reads, of which six
// are bounded, three are keyed writes and one is a single-shot write.
ServiceClass class_for_draw(Millis draw) {
  if (draw < 10)
    return ServiceClass::Idempotent;
  if (draw < 16)
    return ServiceClass::BoundedRead;
  return draw < 19 ? ServiceClass::Keyed : ServiceClass::SingleShot;
}

// The longest time from a response to the client's next request while there is a crowd.
constexpr Millis kMaxThinkTimeInCrowd = 20;

}  // namespace

FakeClient::FakeClient(SoakContext& context, int gateway, const GatewayProcess& process,
                       Behavior behavior)
    : context_(context), gateway_(gateway), process_(process), behavior_(behavior) {}

// Both the end of a connection and the start of a process lead here. A connection that is open, on
// which a request may be in flight, is kept.
void FakeClient::connect() {
  if (context_.is_run_over || !process_.is_ready() || is_connected())
    return;
  input_.clear();
  stream_ = Stream::connect(process_.address(), *this);
  if (stream_)
    stream_->write({postgres().client_handshake()});
}

void FakeClient::send_next_request() {
  const bool is_idle = behavior_ == Behavior::Idle;
  if (context_.is_run_over || is_idle || !request_id_.empty() || !is_connected())
    return;
  const std::string id =
      "r" + std::to_string(gateway_) + "x" + std::to_string(context_.next_request_number);
  ++context_.next_request_number;
  request_ = draw_request(id);
  send(id);
}

Request FakeClient::draw_request(const std::string& id) {
  service_class_ = class_for_draw(context_.traffic_random.between(0, 19));
  Request request;
  request.id = id;
  request.service_class = class_name(service_class_);
  request.timeout_ms = static_cast<int>(context_.traffic_random.between(150, 2000));
  request.is_write = !is_read(service_class_);
  request.idempotency_key = request.is_write ? "k" + id : "";
  request.statement = statement(request.is_write);
  return request;
}

// The first literal names the session. All clients of a gateway form one.
std::string FakeClient::statement(bool is_write) const {
  const std::string session = "'a" + std::to_string(gateway_) + "'";
  return is_write
             ? "INSERT INTO facts (code, data) VALUES (" + session + ", '\\x9f') RETURNING data"
             : "SELECT data FROM facts WHERE code = " + session;
}

void FakeClient::send(const std::string& id) {
  const Millis now = now_ms();
  request_.id = id;
  request_id_ = id;
  deadline_ = now + request_.timeout_ms;
  context_.oracle.request_sent(gateway_, id, service_class_, deadline_, now);
  stream_->write({postgres().encode_request(request_)});
  if (!context_.traffic_random.draw_bool(0.05))
    return;
  context_.tasks.run_after(context_.traffic_random.between(1, 300), [this, id] {
    if (request_id_ == id)
      disconnect();
  });
}

void FakeClient::send_next_request_after(Millis delay) {
  context_.tasks.run_after(delay, [this] {
    send_next_request();
  });
}

void FakeClient::disconnect() {
  context_.oracle.client_disconnected(std::exchange(request_id_, ""), now_ms());
  stream_->close();
  context_.tasks.run_after(context_.traffic_random.between(5, 100), [this] {
    connect();
    send_next_request_after(10);
  });
}

void FakeClient::received() {
  input_.append(stream_->input().view());
  stream_->input().consume(stream_->input().size());
  while (const auto response = postgres().decode_response(input_)) {
    if (request_id_.empty())
      continue;  // an error that precedes the close of a connection without a request
    context_.oracle.response_received(request_id_, now_ms());
    if (response->result == ClientResult::Served && request_.is_write)
      context_.oracle.write_acknowledged(request_id_);
    request_id_.clear();
    ++context_.report.result_counts[result_name(response->result)];
    const bool is_crowd = now_ms() < context_.crowd_until;
    const Millis max_think_time =
        is_crowd ? kMaxThinkTimeInCrowd : context_.settings.max_think_time;
    send_next_request_after(context_.traffic_random.between(5, max_think_time));
  }
}

void FakeClient::ended(const std::string&) {
  const Millis now = now_ms();
  const bool close_raced_request =
      !request_id_.empty() &&
      context_.oracle.connection_ended(request_id_, now) == ConnectionClose::RacedRequest;
  const AfterReconnect next = close_raced_request && deadline_ > now
                                  ? AfterReconnect::ResendRequest
                                  : AfterReconnect::SendNextRequest;
  request_id_.clear();
  context_.tasks.run_after(context_.traffic_random.between(1, 40), [this, next] {
    reconnect(next);
  });
}

void FakeClient::reconnect(AfterReconnect next) {
  connect();
  if (next == AfterReconnect::SendNextRequest || !is_connected()) {
    send_next_request_after(context_.traffic_random.between(5, 100));
    return;
  }
  request_.timeout_ms = static_cast<int>(std::max<Millis>(deadline_ - now_ms(), 20));
  send("again" + request_.id);
}

}  // namespace fault_soak
