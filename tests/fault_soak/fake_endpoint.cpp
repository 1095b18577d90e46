#include "fake_endpoint.h"

#include "integration/protocol.h"
#include "net/stream.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace fault_soak {

using gorsebeam::net::Listener;
using gorsebeam::net::SocketHandle;
using gorsebeam::net::Stream;
using test_harness::ListedEndpoint;
using test_harness::ListedStatus;
using test_harness::postgres;
using test_harness::ReplicationStatus;
using test_harness::Request;
using test_harness::ScriptedResponse;

/// A connection that a gateway opened to the endpoint.
struct FakeEndpoint::Connection : Stream::Events, std::enable_shared_from_this<Connection> {
  Connection(FakeEndpoint& owner, int gateway_index, SocketHandle socket)
      : endpoint(owner), context(owner.context_), gateway(gateway_index),
        stream(Stream::adopt(std::move(socket), *this)) {}

  void received() override {
    const auto keep_alive = shared_from_this();
    input.append(stream->input().view());
    stream->input().consume(stream->input().size());
    while (stream->is_open() && handle_message()) {
    }
  }

  void ended(const std::string&) override { end_attempt(Effect::MayHaveRun); }

  // Handles the first message in `input`. Returns whether there was a complete message.
  bool handle_message() {
    const auto message = postgres().decode_endpoint_message(input, replication());
    if (!message)
      return false;
    if (message->request)
      serve(*message->request);
    else if (message->is_empty_query)
      reply_to_empty_query(message->reply);
    else
      reply_to_handshake_or_health_check(message->reply);
    return true;
  }

  // A gateway sends an empty query only behind a response, so no request is in flight.
  void reply_to_empty_query(const std::string& reply) {
    if (now_ms() >= endpoint.unresponsive_until)
      stream->write({reply});
  }

  void reply_to_handshake_or_health_check(const std::string& reply) {
    const bool is_handshake = !std::exchange(is_handshake_complete, true);
    const Millis now = now_ms();
    if (!is_handshake)
      context.oracle.health_check_arrived(gateway, endpoint.index_, now);
    if (now < endpoint.unresponsive_until)
      return;
    if (!is_handshake || now >= endpoint.slow_handshakes_until) {
      stream->write({reply});
      return;
    }
    context.tasks.run_after(context.traffic_random.between(50, 1500),
                            [self = weak_from_this(), reply] {
                              if (const auto connection = self.lock())
                                connection->stream->write({reply});
                            });
  }

  void serve(const Request& request) {
    const Millis now = now_ms();
    endpoint.group_.end_closed_attempts(request.id);
    request_id = request.id;
    context.oracle.attempt_arrived(endpoint.index_, request.id, request.timeout_ms, now);
    context.oracle.read_arrived(endpoint.index_, request.id, endpoint.replication_lag(now), now);
    if (now < endpoint.unresponsive_until)
      return;
    const auto served_at = endpoint.occupy_worker(now, request.timeout_ms);
    if (!served_at) {
      respond_with(ScriptedResponse::RejectOverloaded);
      return;
    }
    context.tasks.run_after(*served_at - now, [self = weak_from_this(), request] {
      const auto connection = self.lock();
      if (connection && connection->request_id == request.id && connection->stream->is_open())
        connection->respond_with(connection->draw_response(request));
    });
  }

  void respond_with(ScriptedResponse response) {
    if (response == ScriptedResponse::CloseConnection) {
      close();
      return;
    }
    const bool may_have_run =
        response == ScriptedResponse::Succeed || response == ScriptedResponse::Fail;
    if (response == ScriptedResponse::Succeed)
      context.oracle.attempt_served(request_id, now_ms());
    end_attempt(may_have_run ? Effect::MayHaveRun : Effect::None);
    stream->write({postgres().encode_response(response, replication(), "by an endpoint")});
  }

  [[nodiscard]] ScriptedResponse draw_response(const Request& request) const {
    if (request.is_write && !endpoint.is_primary)
      return ScriptedResponse::RejectNotPrimary;
    if (context.traffic_random.draw_bool(0.03))
      return ScriptedResponse::Fail;
    if (context.traffic_random.draw_bool(0.02))
      return ScriptedResponse::RejectOverloaded;
    if (context.traffic_random.draw_bool(0.03))
      return ScriptedResponse::CloseConnection;
    return ScriptedResponse::Succeed;
  }

  [[nodiscard]] ReplicationStatus replication() const {
    return {endpoint.is_primary, static_cast<int>(endpoint.replication_lag(now_ms()))};
  }

  void end_attempt(Effect effect) {
    if (!request_id.empty())
      context.oracle.attempt_ended(endpoint.index_, std::exchange(request_id, ""), effect);
  }

  void close() {
    end_attempt(Effect::MayHaveRun);
    stream->close();
  }

  FakeEndpoint& endpoint;
  SoakContext& context;
  const int gateway;
  std::shared_ptr<Stream> stream;
  std::string input;
  std::string request_id;  ///< Of the request in flight; empty if there is none.
  bool is_handshake_complete = false;
};

FakeEndpoint::FakeEndpoint(SoakContext& context, FakeEndpointGroup& group, int index)
    : context_(context), group_(group), index_(index) {
  for (int gateway = 0; gateway < context_.settings.gateways; ++gateway) {
    listeners_.push_back(std::make_unique<Listener>([this, gateway](SocketHandle socket) {
      connections_.push_back(std::make_shared<Connection>(*this, gateway, std::move(socket)));
    }));
    if (const auto error = listeners_.back()->listen("127.0.0.1:0"))
      throw std::runtime_error("fake endpoint " + std::to_string(index) +
                               " cannot listen on 127.0.0.1:0: " + error->message);
  }
}

FakeEndpoint::~FakeEndpoint() = default;

ListedEndpoint FakeEndpoint::listed_for(int gateway) const {
  ListedEndpoint listed;
  listed.number = static_cast<std::size_t>(index_);
  listed.address = listeners_[static_cast<std::size_t>(gateway)]->address();
  listed.status = listed_status;
  listed.is_primary = index_ == 0;
  listed.started_at_ms = listed_start_ms_;
  return listed;
}

void FakeEndpoint::start_process() {
  started_at_ms_ = g_get_real_time() / 1000;
  started_at_ = now_ms();
  worker_free_at_.fill(started_at_);
  context_.oracle.endpoint_started(index_, started_at_ms_, started_at_);
}

std::optional<Millis> FakeEndpoint::occupy_worker(Millis now, Millis timeout) {
  auto* const worker = std::min_element(worker_free_at_.begin(), worker_free_at_.end());
  const Millis begins_at = std::max(*worker, now);
  const auto max_wait = static_cast<Millis>(kMaxQueueLength * kMeanServiceTime / kWorkers);
  if (begins_at - now > std::min(max_wait, timeout))
    return std::nullopt;
  const Millis age = started_at_ == 0 ? kSlowStartDuration : now - started_at_;
  const auto work =
      static_cast<double>(context_.traffic_random.between(kMinServiceTime, kMaxServiceTime));
  *worker = begins_at + static_cast<Millis>(work / capacity_fraction(age));
  return *worker;
}

void FakeEndpoint::stop_replication(Millis now, Millis duration) {
  replication_stopped_at_ = now - replication_lag(now);
  replication_resumes_at_ = now + duration;
}

// The replica has caught up as soon as replication resumes.
Millis FakeEndpoint::replication_lag(Millis now) const {
  const bool is_stopped = !is_primary && now < replication_resumes_at_;
  return is_stopped ? now - replication_stopped_at_ : 0;
}

void FakeEndpoint::close_connections() {
  const auto connections = std::exchange(connections_, {});
  for (const auto& connection : connections)
    connection->close();
}

void FakeEndpoint::end_closed_attempts(const std::string& request_id) {
  connections_.remove_if([](const auto& connection) {
    return !connection->stream->is_open();
  });
  for (const auto& connection : connections_) {
    if (connection->request_id == request_id && connection->stream->has_peer_closed())
      connection->end_attempt(Effect::MayHaveRun);
  }
}

FakeEndpointGroup::FakeEndpointGroup(SoakContext& context) {
  for (int i = 0; i < context.settings.endpoints; ++i)
    endpoints_.push_back(std::make_unique<FakeEndpoint>(context, *this, i));
  endpoints_.front()->is_primary = true;
}

// The agents send complete lists, in which a removed endpoint is missing.
std::vector<ListedEndpoint> FakeEndpointGroup::list_for(int gateway) const {
  std::vector<ListedEndpoint> list;
  for (const auto& endpoint : endpoints_) {
    if (endpoint->listed_status != ListedStatus::Removed)
      list.push_back(endpoint->listed_for(gateway));
  }
  return list;
}

int FakeEndpointGroup::up_count() const {
  return static_cast<int>(
      std::count_if(endpoints_.begin(), endpoints_.end(), [](const auto& endpoint) {
        return endpoint->listed_status == ListedStatus::Up;
      }));
}

void FakeEndpointGroup::elect_primary() {
  const auto elected = std::find_if(endpoints_.begin(), endpoints_.end(), [](const auto& endpoint) {
    return endpoint->listed_status == ListedStatus::Up;
  });
  if (elected == endpoints_.end())
    return;
  for (const auto& endpoint : endpoints_)
    endpoint->is_primary = endpoint == *elected;
  (*elected)->resume_replication();
}

void FakeEndpointGroup::end_closed_attempts(const std::string& request_id) {
  for (const auto& endpoint : endpoints_)
    endpoint->end_closed_attempts(request_id);
}

}  // namespace fault_soak
