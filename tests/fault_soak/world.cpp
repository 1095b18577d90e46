#include "world.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <stdexcept>
#include <utility>

#include <sys/wait.h>

namespace fault_soak {

using gorsebeam::net::Listener;
using gorsebeam::net::SocketHandle;
using gorsebeam::net::Stream;
using gorsebeam::net::Timer;
using test_harness::ClientResult;
using test_harness::Request;
using test_harness::ScriptedResponse;

namespace {

constexpr std::int64_t kNanosPerMillisecond = 1'000'000;
constexpr Millis kDeduplicationWindow = 1000;
constexpr Millis kFirstFault = 500;
constexpr Millis kEndOfAnswers = 4000;  // beyond each deadline, after the faults

const test_harness::Protocol& protocol() {
  return test_harness::postgres();
}

}  // namespace

/// One connection of a gateway to an endpoint.
struct World::EndpointConnection : Stream::Events,
                                   std::enable_shared_from_this<EndpointConnection> {
  EndpointConnection(World& the_world, Endpoint& owner, int gateway_index, SocketHandle socket)
      : world(the_world), endpoint(owner), gateway(gateway_index),
        stream(Stream::adopt(std::move(socket), *this)) {}

  void received() override;

  void ended(const std::string&) override { end_attempt(Effect::MayHaveRun); }

  bool handle_message();
  void serve(const Request& request);
  void respond(const Request& request);
  void end_attempt(Effect effect);

  void close() {
    end_attempt(Effect::MayHaveRun);
    stream->close();
  }

  World& world;
  Endpoint& endpoint;
  const int gateway;
  std::shared_ptr<Stream> stream;
  std::string input;
  std::string request_id;  ///< In flight; empty: none.
  bool is_greeted = false;
};

struct World::Endpoint {
  Endpoint(World& the_world, int number) : world(the_world), index(number) {
    for (int gateway = 0; gateway < world.settings_.gateways; ++gateway) {
      listeners.push_back(std::make_unique<Listener>([this, gateway](SocketHandle socket) {
        connections.push_back(
            std::make_shared<EndpointConnection>(world, *this, gateway, std::move(socket)));
      }));
      if (const auto error = listeners.back()->listen("127.0.0.1:0"))
        throw std::runtime_error("an endpoint cannot listen: " + error->message);
    }
  }

  void close_connections() {
    const auto all = connections;
    for (const auto& connection : all)
      connection->close();
    connections.clear();
  }

  void forget_closed() {
    connections.remove_if([](const auto& connection) {
      return !connection->stream->open();
    });
  }

  World& world;
  const int index;
  std::vector<std::unique_ptr<Listener>> listeners;  ///< By gateway.
  std::list<std::shared_ptr<EndpointConnection>> connections;
  std::string phase = "ready";
  std::int64_t started_at_ms = 0;
  bool is_primary = false;
  Millis hangs_until = 0;
  Millis greets_late_until = 0;
};

void World::EndpointConnection::received() {
  const auto keep_alive = shared_from_this();
  input.append(stream->input().view());
  stream->input().consume(stream->input().size());
  while (stream->open() && handle_message()) {
  }
}

bool World::EndpointConnection::handle_message() {
  std::optional<Request> request;
  std::string reply;
  const test_harness::ReplicationStatus replication{endpoint.is_primary, 0};
  if (!protocol().decode_endpoint_message(input, replication, request, reply))
    return false;
  if (request) {
    serve(*request);
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
    stream->write({reply});
    return true;
  }
  world.after(world.draw(50, 1500), [self = weak_from_this(), reply] {
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

/// Sends one request after the other, and meets its connection's end.
struct World::Client : Stream::Events {
  Client(World& the_world, Gateway& its_gateway);

  void connect();
  void send_next();
  void send(const std::string& id);
  void leave();
  void received() override;
  void ended(const std::string&) override;

  World& world;
  Gateway& gateway;
  std::shared_ptr<Stream> stream;
  std::string input;
  std::string request_id;  ///< Sent and not answered; empty: none.
  Request request;
  Millis deadline = 0;
  bool is_resting = false;  ///< Of a crowd: sends nothing.
};

struct World::Gateway {
  int index = 0;
  std::unique_ptr<Agent> agent;
  std::unique_ptr<GatewayProcess> process;
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<std::string> told_phases;  ///< By endpoint, as the oracle has them.
  bool is_stopped = false;               ///< By SIGSTOP.
  bool is_ending = false;                ///< By SIGTERM or SIGKILL.
};

World::Client::Client(World& the_world, Gateway& its_gateway)
    : world(the_world), gateway(its_gateway) {}

void World::Client::connect() {
  if (world.is_over_ || !gateway.process->is_ready())
    return;
  input.clear();
  stream = Stream::connect(gateway.process->address(), *this);
  if (stream)
    stream->write({protocol().client_greeting()});
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
  std::string value;
  while (const auto result = protocol().decode_response(input, value)) {
    if (request_id.empty())
      continue;  // the error of a connection that is closed
    world.oracle_.answer_received(std::exchange(request_id, ""), now_ms());
    ++world.report_.answers[*result == ClientResult::Served     ? "served"
                            : *result == ClientResult::Rejected ? "rejected"
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

World::World(const SoakSettings& settings)
    : settings_(settings), random_(settings.seed), fault_random_(~settings.seed),
      oracle_(kDeduplicationWindow) {
  std::string name = "/tmp/gorsebeam-fault-soak-XXXXXX";
  if (mkdtemp(name.data()) == nullptr)
    throw std::runtime_error("a temporary folder cannot be made");
  folder_ = name;
  for (int i = 0; i < settings_.endpoints; ++i)
    endpoints_.push_back(std::make_unique<Endpoint>(*this, i));
  endpoints_.front()->is_primary = true;
  for (int i = 0; i < settings_.gateways; ++i) {
    gateways_.push_back(std::make_unique<Gateway>());
    Gateway& gateway = *gateways_.back();
    gateway.index = i;
    gateway.told_phases.assign(static_cast<std::size_t>(settings_.endpoints), "ready");
    gateway.agent = std::make_unique<Agent>([this, &gateway] {
      notified(gateway);
    });
    ProcessSettings process;
    process.program = settings_.program;
    process.shim = settings_.shim;
    process.folder = folder_ + "/" + std::to_string(i);
    process.index = i;
    process.shim_seed = static_cast<unsigned>(random_());
    std::filesystem::create_directory(process.folder);
    gateway.process = std::make_unique<GatewayProcess>(
        process,
        [this, &gateway] {
          gateway_ready(gateway);
        },
        [this, &gateway](int status) {
          gateway_exited(gateway, status);
        });
    for (int c = 0; c < settings_.clients_per_gateway; ++c)
      gateway.clients.push_back(std::make_unique<Client>(*this, gateway));
  }
}

World::~World() {
  std::filesystem::remove_all(folder_);
}

const std::string& World::log_of(int gateway) const {
  return gateways_[static_cast<std::size_t>(gateway)]->process->log();
}

Millis World::draw(Millis low, Millis high) {
  return std::uniform_int_distribution<Millis>(low, high)(random_);
}

bool World::chance(double probability) {
  return std::bernoulli_distribution(probability)(random_);
}

Millis World::draw_fault(Millis low, Millis high) {
  return std::uniform_int_distribution<Millis>(low, high)(fault_random_);
}

void World::after(Millis delay, std::function<void()> action) {
  timers_.push_back(nullptr);
  const auto place = std::prev(timers_.end());
  *place = std::make_unique<Timer>([this, place, action = std::move(action)] {
    const std::unique_ptr<Timer> ended = std::move(*place);
    timers_.erase(place);
    action();
  });
  (*place)->after(delay * kNanosPerMillisecond);
}

void World::log_fault(const std::string& name, const std::string& detail) {
  ++report_.faults[name];
  report_.fault_log.push_back(std::to_string(now_ms() - started_at_) + " " + name + " " + detail);
}

void World::start_gateway(Gateway& gateway) {
  if (is_over_)
    return;
  gateway.is_ending = false;
  oracle_.gateway_started(gateway.index, now_ms());
  gateway.told_phases.assign(gateway.told_phases.size(), "ready");
  // What the agent has counts from the first moment of a process.
  if (gateway.agent->is_serving())
    notified(gateway);
  gateway.process->start(gateway.agent->address());
}

void World::gateway_ready(Gateway& gateway) {
  for (const auto& client : gateway.clients) {
    client->connect();
    after(draw(5, 200), [&client = *client] {
      client.send_next();
    });
  }
}

void World::gateway_exited(Gateway& gateway, int status) {
  const bool is_killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
  const bool is_clean = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  if (!gateway.is_ending || (!is_killed && !is_clean))
    report_.violations.push_back({"crash",
                                  "gateway " + std::to_string(gateway.index) +
                                      " ended with wait status " + std::to_string(status),
                                  now_ms()});
  oracle_.gateway_killed(gateway.index);
  if (is_over_)
    return;
  after(draw(20, 400), [this, &gateway] {
    start_gateway(gateway);
  });
}

// Only changes of what the oracle knows are told to it.
void World::notified(const Gateway& gateway) {
  auto& told = gateways_[static_cast<std::size_t>(gateway.index)]->told_phases;
  for (const auto& endpoint : endpoints_) {
    std::string& phase = told[static_cast<std::size_t>(endpoint->index)];
    if (phase == endpoint->phase)
      continue;
    phase = endpoint->phase;
    oracle_.endpoint_notified(gateway.index, endpoint->index, phase != "ready", now_ms());
  }
}

void World::publish() {
  for (const auto& gateway : gateways_) {
    std::vector<ListedEndpoint> list;
    for (const auto& endpoint : endpoints_) {
      ListedEndpoint listed;
      listed.address = endpoint->listeners[static_cast<std::size_t>(gateway->index)]->address();
      listed.phase = endpoint->phase;
      listed.listed_as_primary = endpoint->index == 0;
      listed.started_at_ms = endpoint->started_at_ms;
      list.push_back(listed);
    }
    gateway->agent->publish(list);
  }
}

void World::elect_primary() {
  for (const auto& endpoint : endpoints_) {
    if (endpoint->phase != "ready")
      continue;
    for (const auto& other : endpoints_)
      other->is_primary = false;
    endpoint->is_primary = true;
    return;
  }
}

void World::settle_attempts(const std::string& request_id) {
  for (const auto& endpoint : endpoints_) {
    endpoint->forget_closed();
    for (const auto& connection : endpoint->connections) {
      if (connection->request_id == request_id && connection->stream->has_peer_closed())
        connection->end_attempt(Effect::MayHaveRun);
    }
  }
}

World::Gateway& World::any_gateway() {
  return *gateways_[static_cast<std::size_t>(draw_fault(0, settings_.gateways - 1))];
}

void World::start_faults() {
  after(kFirstFault, [this] {
    play_fault();
  });
}

void World::play_fault() {
  if (now_ms() - started_at_ > settings_.duration)
    return;
  switch (draw_fault(0, 11)) {
  case 0:
  case 1:
  case 2:
    pause_gateway();
    break;
  case 3:
    terminate_gateway();
    break;
  case 4:
    kill_gateway();
    break;
  case 5:
    reload_gateway();
    break;
  case 6:
    disturb_agent();
    break;
  case 7:
    drain_endpoint();
    break;
  case 8:
    hang_endpoint();
    break;
  case 9:
    reset_endpoint();
    break;
  case 10:
    slow_greetings();
    break;
  default:
    crowd_clients();
    break;
  }
  after(draw_fault(20, 250), [this] {
    play_fault();
  });
}

void World::pause_gateway() {
  Gateway& gateway = any_gateway();
  if (gateway.is_stopped || gateway.is_ending || !gateway.process->is_ready())
    return;
  const Millis length = draw_fault(0, 9) < 3 ? draw_fault(1500, 3500) : draw_fault(30, 800);
  log_fault("pause", std::to_string(gateway.index) + " for " + std::to_string(length));
  gateway.is_stopped = true;
  gateway.process->send_signal(SIGSTOP);
  oracle_.gateway_paused(gateway.index, now_ms());
  after(length, [this, &gateway] {
    gateway.is_stopped = false;
    oracle_.gateway_resumed(gateway.index, now_ms());
    gateway.process->send_signal(SIGCONT);
  });
}

void World::terminate_gateway() {
  Gateway& gateway = any_gateway();
  if (gateway.is_stopped || gateway.is_ending || !gateway.process->is_ready())
    return;
  log_fault("terminate", std::to_string(gateway.index));
  gateway.is_ending = true;
  oracle_.gateway_terminated(gateway.index, now_ms());
  gateway.process->send_signal(SIGTERM);
}

void World::kill_gateway() {
  Gateway& gateway = any_gateway();
  if (gateway.is_ending || !gateway.process->is_ready())
    return;
  log_fault("kill", std::to_string(gateway.index));
  gateway.is_ending = true;
  oracle_.gateway_killed(gateway.index);
  gateway.process->send_signal(SIGKILL);
}

void World::reload_gateway() {
  Gateway& gateway = any_gateway();
  if (gateway.is_ending || !gateway.process->is_ready() || !gateway.agent->is_serving())
    return;
  log_fault("reload", std::to_string(gateway.index));
  gateway.agent->move();
  gateway.process->write_config(gateway.agent->address());
  gateway.process->send_signal(SIGHUP);
}

void World::disturb_agent() {
  Gateway& gateway = any_gateway();
  if (!gateway.agent->is_serving())
    return;
  if (draw_fault(0, 9) < 3) {
    log_fault("watch reset", std::to_string(gateway.index));
    gateway.agent->reset_watch();
    return;
  }
  const bool is_silent = draw_fault(0, 9) < 6;
  const Millis length = draw_fault(300, 5000);
  log_fault(is_silent ? "agent silent" : "agent refuses",
            std::to_string(gateway.index) + " for " + std::to_string(length));
  gateway.agent->set_state(is_silent ? Agent::State::Silent : Agent::State::Refusing);
  after(length, [&gateway] {
    gateway.agent->set_state(Agent::State::Serving);
  });
}

// At least three endpoints stay, so that there is always one to go to.
void World::drain_endpoint() {
  const auto ready = std::count_if(endpoints_.begin(), endpoints_.end(), [](const auto& endpoint) {
    return endpoint->phase == "ready";
  });
  Endpoint& endpoint =
      *endpoints_[static_cast<std::size_t>(draw_fault(0, settings_.endpoints - 1))];
  if (ready <= 3 || endpoint.phase != "ready")
    return;
  log_fault("drain", std::to_string(endpoint.index));
  endpoint.phase = "draining";
  elect_primary();
  publish();
  after(draw_fault(800, 3000), [this, &endpoint] {
    endpoint.phase = "gone";
    endpoint.close_connections();
    publish();
  });
  after(draw_fault(3500, 6000), [this, &endpoint] {
    endpoint.phase = "ready";
    endpoint.started_at_ms = g_get_real_time() / 1000;
    publish();
  });
}

void World::hang_endpoint() {
  Endpoint& endpoint =
      *endpoints_[static_cast<std::size_t>(draw_fault(0, settings_.endpoints - 1))];
  const Millis length = draw_fault(200, 2500);
  log_fault("hang", std::to_string(endpoint.index) + " for " + std::to_string(length));
  endpoint.hangs_until = now_ms() + length;
}

void World::reset_endpoint() {
  Endpoint& endpoint =
      *endpoints_[static_cast<std::size_t>(draw_fault(0, settings_.endpoints - 1))];
  log_fault("close connections", std::to_string(endpoint.index));
  endpoint.close_connections();
}

void World::slow_greetings() {
  Endpoint& endpoint =
      *endpoints_[static_cast<std::size_t>(draw_fault(0, settings_.endpoints - 1))];
  const Millis length = draw_fault(300, 2500);
  log_fault("late greetings", std::to_string(endpoint.index) + " for " + std::to_string(length));
  endpoint.greets_late_until = now_ms() + length;
}

void World::crowd_clients() {
  Gateway& gateway = any_gateway();
  log_fault("crowd", std::to_string(gateway.index));
  for (int i = 0; i < 60; ++i) {
    crowd_.push_back(std::make_unique<Client>(*this, gateway));
    crowd_.back()->is_resting = true;
    crowd_.back()->connect();
  }
}

void World::run_loop_until(const std::function<bool()>& condition) {
  Timer wake([] {});
  while (!condition()) {
    wake.after(20 * kNanosPerMillisecond);
    g_main_context_iteration(nullptr, TRUE);
    const Millis begun = now_ms();
    while (g_main_context_iteration(nullptr, FALSE) != FALSE && now_ms() - begun < 5) {
    }
  }
}

SoakReport World::run() {
  publish();
  started_at_ = now_ms();
  for (const auto& gateway : gateways_)
    start_gateway(*gateway);
  run_loop_until([this] {
    return std::all_of(gateways_.begin(), gateways_.end(), [](const auto& gateway) {
      return gateway->process->is_ready();
    });
  });
  started_at_ = now_ms();
  start_faults();
  Millis last_turn = now_ms();
  run_loop_until([this, &last_turn] {
    const Millis now = now_ms();
    report_.longest_turn = std::max(report_.longest_turn, now - last_turn);
    last_turn = now;
    oracle_.check_overdue(now);
    return now - started_at_ > settings_.duration + kEndOfAnswers;
  });
  finish();
  return report_;
}

void World::finish() {
  is_over_ = true;
  for (const auto& gateway : gateways_) {
    gateway->is_ending = true;
    gateway->process->send_signal(SIGCONT);
    gateway->process->send_signal(SIGTERM);
  }
  run_loop_until([this] {
    return std::none_of(gateways_.begin(), gateways_.end(), [](const auto& gateway) {
      return gateway->process->is_running();
    });
  });
  for (const Violation& violation : oracle_.violations())
    report_.violations.push_back(violation);
  for (const auto& gateway : gateways_) {
    if (gateway->process->log().find("invariant_violated") != std::string::npos)
      report_.violations.push_back(
          {"invariant",
           "gateway " + std::to_string(gateway->index) + " logged a violated invariant", now_ms()});
  }
  for (Violation& violation : report_.violations)
    violation.at -= started_at_;
  report_.requests = oracle_.request_count();
  report_.attempts = oracle_.attempt_count();
}

}  // namespace fault_soak
