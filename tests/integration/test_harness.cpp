#include "test_harness.h"

#include "platform_config.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <glib.h>
#include <sstream>
#include <unistd.h>

namespace test_harness {
namespace {

constexpr const char* kUnusedDiscoveryAddress = "127.0.0.1:9";

PlatformClass make_class(const PlatformSettings& settings, const char* name, const char* effect,
                         const char* read_level) {
  PlatformClass platform_class{name, effect, read_level};
  platform_class.latency_objective_ms = settings.latency_objective_ms;
  platform_class.deadline_ms = settings.latency_objective_ms + 1000;
  platform_class.deduplication_window_ms = settings.deduplication_window_ms;
  return platform_class;
}

void expect_attempts_allowed(const std::vector<const GatewayHarness::Attempt*>& attempts) {
  const Request& first = attempts.front()->request;
  ASSERT_LE(attempts.size(), kMaxAttempts);
  for (const GatewayHarness::Attempt* attempt : attempts) {
    const bool is_last = attempt == attempts.back();
    ASSERT_TRUE(attempt->request.service_class != "once" || is_last || !attempt->may_have_run)
        << "a single-shot write was retried after an attempt that may have run";
    ASSERT_EQ(attempt->request.idempotency_key, first.idempotency_key);
    ASSERT_EQ(attempt->request.is_write, first.is_write);
  }
}

}  // namespace

std::string make_temporary_folder() {
  std::string name = "/tmp/gorsebeam-integration-XXXXXX";
  require(mkdtemp(name.data()) != nullptr, "cannot create a temporary folder in /tmp");
  return name;
}

std::string write_platform_config(const std::string& folder, const std::string& discovery_address,
                                  const PlatformSettings& settings) {
  PlatformConfig config;
  config.listen_address = settings.listen_address;
  config.discovery_address = discovery_address;
  config.connect_timeout_ms = settings.connect_timeout_ms;
  config.keepalive_ms = settings.keepalive_ms;
  config.token_mode = settings.token_mode;
  config.classes = {make_class(settings, "any", "free", "eventual"),
                    make_class(settings, "session", "free", "causal"),
                    make_class(settings, "save", "guarded", "mutate"),
                    make_class(settings, "once", "single_shot", "mutate")};
  if (!settings.added_class.empty())
    config.classes.push_back(
        make_class(settings, settings.added_class.c_str(), "free", "eventual"));
  std::string path = folder + "/config.json";
  std::ofstream(path) << encode_platform_config(config);
  return path;
}

GatewayHarness::GatewayHarness(const Protocol& wire_protocol, std::size_t endpoint_count,
                               std::size_t primary_index, const std::string& operator_text)
    : protocol(wire_protocol), folder_(make_temporary_folder()) {
  const auto role = [](bool is_primary) {
    return is_primary ? EndpointRole::Primary : EndpointRole::Replica;
  };
  for (std::size_t i = 0; i < endpoint_count; ++i)
    endpoints.push_back(std::make_unique<StubEndpoint>(*this, "m" + std::to_string(i), role(i == 0),
                                                       role(i == primary_index)));
  write_operator_file(operator_text);
  write_platform_config(folder_, kUnusedDiscoveryAddress);
  publish_inventory();
}

GatewayHarness::~GatewayHarness() {
  for (const char* name : {"/config.json", "/gateway.textproto", "/members.csv"})
    unlink((folder_ + name).c_str());
  rmdir(folder_.c_str());
}

const char* GatewayHarness::protocol_label() const {
  return &protocol == &mongo() ? "MongoDB" : "PostgreSQL";
}

void GatewayHarness::write_operator_file(const std::string& operator_text) {
  const std::string listener =
      &protocol == &mongo() ? "mongo { listen: '" + listen_host + ":0' inventory: 'members.csv' }\n"
                            : "postgres { inventory: 'members.csv' }\n";
  std::ofstream(folder_ + "/gateway.textproto") << listener << operator_text;
}

std::string GatewayHarness::inventory_text() const {
  std::ostringstream text;
  text << "name,address,group,role,state\n";
  for (const auto& endpoint : endpoints) {
    if (endpoint->listed_status == ListedStatus::Removed)
      continue;
    text << endpoint->name << ',' << endpoint->address << ",0,"
         << (endpoint->listed_as_primary ? "primary" : "replica") << ','
         << (endpoint->listed_status == ListedStatus::Draining ? "draining" : "up") << '\n';
  }
  return text.str();
}

void GatewayHarness::write_inventory(const std::string& text) const {
  std::ofstream(folder_ + "/members.csv") << text;
}

void GatewayHarness::publish_inventory() {
  const std::string path = folder_ + "/members.csv";
  std::ofstream(path + ".new") << inventory_text();
  require(std::rename((path + ".new").c_str(), path.c_str()) == 0, "cannot rename to " + path);
  if (!gateway.was_started())
    return;
  gateway.read_log();
  const std::size_t log_size = gateway.log.size();
  gateway.send_signal(SIGHUP);
  gateway.await_log("reload_complete", log_size);
}

void GatewayHarness::set_platform_settings(const PlatformSettings& settings) {
  settings_ = settings;
  write_platform_config(folder_, kUnusedDiscoveryAddress, settings_);
}

void GatewayHarness::use_discovery(const std::string& agent_address) {
  std::ofstream(folder_ + "/gateway.textproto") << "";
  write_platform_config(folder_, agent_address, settings_);
}

void GatewayHarness::write_discovery_address(const std::string& agent_address) const {
  write_platform_config(folder_, agent_address, settings_);
}

void GatewayHarness::reload(const std::string& agent_address, const std::string& log_text) {
  write_discovery_address(agent_address);
  gateway.read_log();
  const std::size_t log_size = gateway.log.size();
  gateway.send_signal(SIGHUP);
  gateway.await_log(log_text, log_size);
}

void GatewayHarness::start() {
  gateway.start(folder_ + "/config.json", folder_ + "/gateway.textproto", protocol_label());
  update_address();
}

void GatewayHarness::update_address() {
  address_ = gateway.last_listener_address(protocol_label());
}

std::unique_ptr<TestClient> GatewayHarness::connect_silent_client() {
  return std::make_unique<TestClient>(*this, address_);
}

std::unique_ptr<TestClient> GatewayHarness::connect_client() {
  auto client = connect_silent_client();
  client->write(protocol.client_handshake());
  return client;
}

void GatewayHarness::pause_handshakes() {
  for (const auto& endpoint : endpoints) {
    endpoint->pauses_handshakes = true;
    endpoint->close_connections();
  }
}

StubEndpoint& GatewayHarness::await_paused_handshake() const {
  StubEndpoint* found = nullptr;
  wait_until(
      [&] {
        for (const auto& endpoint : endpoints)
          if (endpoint->paused_handshake_count() > 0)
            found = endpoint.get();
        return found != nullptr;
      },
      "a connection whose handshake is paused");
  return *found;
}

void GatewayHarness::resume_handshakes() {
  for (const auto& endpoint : endpoints)
    endpoint->resume_handshakes();
}

void GatewayHarness::set_listed_status(ListedStatus status) {
  for (const auto& endpoint : endpoints)
    endpoint->listed_status = status;
}

void GatewayHarness::set_min_value_bytes(std::size_t bytes) {
  for (const auto& endpoint : endpoints)
    endpoint->min_value_bytes = bytes;
}

int GatewayHarness::attempt_count(const std::string& request_id) const {
  return static_cast<int>(
      std::count_if(attempts.begin(), attempts.end(), [&](const Attempt& attempt) {
        return attempt.request.id == request_id;
      }));
}

int GatewayHarness::attempt_count_with_prefix(const std::string& id_prefix) const {
  return static_cast<int>(
      std::count_if(attempts.begin(), attempts.end(), [&](const Attempt& attempt) {
        return attempt.request.id.compare(0, id_prefix.size(), id_prefix) == 0;
      }));
}

void GatewayHarness::await_first_attempt(const std::string& request_id) const {
  wait_until(
      [&] {
        return attempt_count(request_id) == 1;
      },
      "the first attempt of request " + request_id);
}

void GatewayHarness::expect_invariants() const {
  int request_count = 0;
  for (const auto& [id, times_sent] : sent_requests)
    request_count += times_sent;
  ASSERT_EQ(response_count, request_count);
  std::map<std::string, std::vector<const Attempt*>> attempts_by_id;
  for (const Attempt& attempt : attempts)
    attempts_by_id[attempt.request.id].push_back(&attempt);
  for (const auto& [id, attempts_of_id] : attempts_by_id) {
    SCOPED_TRACE("request " + id);
    ASSERT_EQ(sent_requests.count(id), 1U) << "no client sent it";
    expect_attempts_allowed(attempts_of_id);
  }
}

void GatewayHarness::expect_invariants_and_running() const {
  expect_invariants();
  ASSERT_TRUE(gateway.is_running());
}

Request read_request(const std::string& id, int timeout_ms) {
  return {id, "any", "", timeout_ms, false, ""};
}

Request session_read(const std::string& id) {
  return {id, "session", "", 2000, false, ""};
}

Request unknown_class_request(const std::string& id) {
  return {id, "undefined", "", 2000, false, ""};
}

Request keyed_write(const std::string& id) {
  return {id, "save", "key-" + id, 2500, true, ""};
}

Request single_shot_write(const std::string& id, int timeout_ms) {
  return {id, "once", "key", timeout_ms, true, ""};
}

void expect_reads_served(TestClient& client, const std::string& id_prefix, int count) {
  for (int i = 0; i < count; ++i) {
    const std::string id = id_prefix + std::to_string(i);
    ASSERT_EQ(client.send_and_await(read_request(id)), ClientResult::Served) << "read " << id;
  }
}

void await_gateway_loop_iterations(TestClient& client, const std::string& id_prefix) {
  for (int i = 0; i < 40; ++i) {
    const std::string id = id_prefix + std::to_string(i);
    ASSERT_EQ(client.send_and_await(unknown_class_request(id)), ClientResult::Failed);
  }
}

std::int64_t unix_ms_now() {
  return g_get_real_time() / 1000 + 1;
}

void expect_contains(const std::string& text, const std::string& part) {
  ASSERT_NE(text.find(part), std::string::npos)
      << "'" << text << "' does not contain '" << part << "'";
}

}  // namespace test_harness
