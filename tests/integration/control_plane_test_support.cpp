#include "control_plane_test_support.h"

#include <algorithm>

namespace test_harness {

constexpr std::size_t kSubscriptionCount = 3;  // members, contracts and limits

google::protobuf::RepeatedPtrField<pb::Member>& mutable_endpoints(pb::Members& members,
                                                                  const Protocol& protocol) {
  return &protocol == &mongo() ? *members.mutable_mongo() : *members.mutable_postgres();
}

std::string control_service_operator_text(const std::vector<std::string>& addresses,
                                          const std::string& operator_text) {
  std::string text =
      "control_service { node: 'gw-1' cluster: 'palermo' reconnect_most_ms: 100 silence_ms: 500 "
      "hold_ms: 400 ";
  for (const std::string& address : addresses)
    text += "address: '" + address + "' ";
  return text + "}\n" + operator_text;
}

ControlledGateway::ControlledGateway(const Protocol& protocol, std::size_t endpoint_count)
    : harness(protocol, endpoint_count, 0) {}

void ControlledGateway::start(const std::vector<std::string>& addresses,
                              const std::string& operator_text) {
  harness.write_operator_file(control_service_operator_text(addresses, operator_text));
  harness.start();
}

pb::Members ControlledGateway::members(std::uint64_t generation) const {
  pb::Members members;
  members.set_generation(generation);
  for (const auto& endpoint : harness.endpoints) {
    if (endpoint->listed_status == ListedStatus::Removed)
      continue;
    pb::Member& member = *mutable_endpoints(members, harness.protocol).Add();
    member.set_name(endpoint->name);
    member.set_address(endpoint->address);
    member.set_role(endpoint->listed_as_primary ? pb::Member::PRIMARY : pb::Member::REPLICA);
    member.set_state(endpoint->listed_status == ListedStatus::Draining ? pb::Member::DRAINING
                                                                       : pb::Member::UP);
  }
  return members;
}

pb::Contracts ControlledGateway::contracts(std::uint64_t generation,
                                           const std::vector<std::string>& classes) {
  pb::Contracts contracts;
  contracts.set_generation(generation);
  pb::Team& team = *contracts.add_team();
  team.set_name("portal");
  for (const std::string& name : classes)
    team.add_class_()->set_name(name);
  return contracts;
}

void await_subscriptions(const fake_control_plane::ControlService& service) {
  wait_until(
      [&] {
        return service.received_requests().size() >= kSubscriptionCount;
      },
      "the gateway to subscribe to " + std::to_string(kSubscriptionCount) + " resource types");
}

BackgroundLoad::BackgroundLoad(GatewayHarness& harness, int client_count) {
  for (int i = 0; i < client_count; ++i)
    clients_.push_back({harness.connect_client()});
}

void BackgroundLoad::count_response(LoadClient& client) {
  ++result_counts_[client.client->responses.front()];
  ++total_response_count_;
  client.client->responses.pop_front();
  client.is_waiting = false;
}

void BackgroundLoad::send_next_request(LoadClient& client) {
  const std::string id = "load" + std::to_string(next_number_);
  ++next_number_;
  client.client->send_request(next_number_ % 4 == 0 ? keyed_write(id) : read_request(id));
  client.is_waiting = true;
}

void BackgroundLoad::advance_clients() {
  for (LoadClient& client : clients_) {
    if (client.is_waiting && !client.client->responses.empty())
      count_response(client);
    if (!client.is_waiting && !paused_)
      send_next_request(client);
  }
}

void BackgroundLoad::wait_until(const std::function<bool()>& condition,
                                const std::string& awaited) {
  test_harness::wait_until(
      [&] {
        advance_clients();
        return condition();
      },
      awaited);
}

void BackgroundLoad::await_subscriptions(const fake_control_plane::ControlService& service) {
  wait_until(
      [&] {
        return service.received_requests().size() >= kSubscriptionCount;
      },
      "the gateway to subscribe to " + std::to_string(kSubscriptionCount) + " resource types");
}

void BackgroundLoad::await_new_stream(const fake_control_plane::ControlService& service,
                                      int earlier_stream_count) {
  wait_until(
      [&] {
        return service.stream_count() > earlier_stream_count;
      },
      "the gateway to open a new stream");
}

void BackgroundLoad::await_responses(int count) {
  const int target = total_response_count_ + count;
  wait_until(
      [&] {
        return total_response_count_ >= target;
      },
      std::to_string(count) + " responses to the background load");
}

void BackgroundLoad::await_result(ClientResult result) {
  result_counts_.clear();
  wait_until(
      [&] {
        return result_counts_[result] > 0;
      },
      "a background request with the result " + testing::PrintToString(result));
}

void BackgroundLoad::pause() {
  paused_ = true;
  wait_until(
      [&] {
        return std::none_of(clients_.begin(), clients_.end(), [](const LoadClient& client) {
          return client.is_waiting;
        });
      },
      "the responses to the background requests in flight");
}

void BackgroundLoad::expect_all_served() const {
  ASSERT_EQ(result_counts_.size(), 1U);
  ASSERT_EQ(result_counts_.count(ClientResult::Served), 1U);
}

}  // namespace test_harness
