/// Common set-up of the control-plane tests: a gateway with a control service, the resources that
/// the service sends, and clients that send requests meanwhile.
#pragma once

#include "gateway_integration_test.h"

#include "fake_control_plane/control_service.h"

#include <list>
#include <map>
#include <string>
#include <vector>

namespace test_harness {

namespace pb = gorsebeam::config::v1;

/// Returns the list in `members` that holds the endpoints of `protocol`.
google::protobuf::RepeatedPtrField<pb::Member>& mutable_endpoints(pb::Members& members,
                                                                  const Protocol& protocol);

/// Returns the text of an operators' file that names control services at `addresses`, followed by
/// `operator_text`.
std::string control_service_operator_text(const std::vector<std::string>& addresses,
                                          const std::string& operator_text = "");

/// A gateway that gets its configuration from control services.
class ControlledGateway {
public:
  explicit ControlledGateway(const Protocol& protocol, std::size_t endpoint_count = 3);

  void start(const std::vector<std::string>& addresses, const std::string& operator_text = "");

  bool has_logged(const std::string& text) { return harness.gateway.has_logged(text); }

  /// Returns the endpoints of the harness with their current listed status, as a resource.
  [[nodiscard]] pb::Members members(std::uint64_t generation) const;
  /// Returns a resource with one contract, which allows team `portal` to use `classes`.
  [[nodiscard]] static pb::Contracts
  contracts(std::uint64_t generation, const std::vector<std::string>& classes = {"any", "save"});

  GatewayHarness harness;
};

/// Waits until the gateway has subscribed to each of the service's resource types.
void await_subscriptions(const fake_control_plane::ControlService& service);

/// Clients that each send a request as soon as the previous one has its response. Every fourth
/// request is a write.
class BackgroundLoad {
public:
  BackgroundLoad(GatewayHarness& harness, int client_count);

  /// As test_harness::wait_until(), with the clients active.
  void wait_until(const std::function<bool()>& condition, const std::string& awaited);
  void await_subscriptions(const fake_control_plane::ControlService& service);
  void await_new_stream(const fake_control_plane::ControlService& service,
                        int earlier_stream_count);
  /// Waits for `count` further responses.
  void await_responses(int count);
  /// Waits until a client gets a response with `result`. Forgets the results of earlier responses.
  void await_result(ClientResult result);
  /// Stops sending and waits for the responses to the requests in flight.
  void pause();

  void resume() { paused_ = false; }

  /// Asserts that there were responses since the last await_result(), all of them Served.
  void expect_all_served() const;

private:
  struct LoadClient {
    std::unique_ptr<TestClient> client;
    bool is_waiting = false;
  };

  void advance_clients();
  void count_response(LoadClient& client);
  void send_next_request(LoadClient& client);

  std::list<LoadClient> clients_;
  std::map<ClientResult, int> result_counts_;
  int total_response_count_ = 0;
  int next_number_ = 0;
  bool paused_ = false;
};

}  // namespace test_harness
