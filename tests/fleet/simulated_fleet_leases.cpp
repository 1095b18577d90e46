// The embedding of the lease managers and clients, and the actions that gateways take under leases.
#include "simulated_fleet.h"

#include <utility>

namespace gorsebeam::simulation {

// ---- Lease managers

void SimulatedFleet::run_manager(Gateway& gateway, const ManagerEvent& event) {
  leases::ManagerActions actions;
  event(*gateway.manager, local_now(gateway), actions);
  arm_timer(gateway, *gateway.manager, gateway.manager_deadline, [this, &gateway] {
    run_manager(gateway, [](auto& manager, TimePoint now, auto& out) {
      manager.tick(now, out);
    });
  });
  for (const leases::ManagerAction& action : actions) {
    digest_.add_event(queue_.now(), gateway.number);
    digest_.add(action);
    perform(gateway, action);
  }
}

void SimulatedFleet::perform(Gateway& gateway, const leases::ManagerAction& action) {
  if (const auto* propose = std::get_if<leases::ProposeGrant>(&action)) {
    run_node(gateway, [&](auto& node, TimePoint, auto& out) {
      node.propose(propose->command, out);
    });
  } else if (std::holds_alternative<leases::ConfirmLeadership>(action)) {
    confirm_leadership(gateway);
  } else if (const auto* response = std::get_if<leases::LeaseResponse>(&action)) {
    send(gateway, *response);
  }
}

void SimulatedFleet::confirm_leadership(Gateway& gateway) {
  std::optional<std::uint64_t> round;
  run_node(gateway, [&](auto& node, TimePoint, auto& out) {
    round = node.confirm_leadership(out);
  });
  if (round)
    gateway.manager->handle_confirmation_started(*round);
}

void SimulatedFleet::send(Gateway& sender, const leases::LeaseResponse& response) {
  Gateway& receiver = gateway_named(leases::gateway_name(response.holder));
  ++messages_from_leader_;
  transmit(sender, receiver, [this, &receiver, sender = sender.name, response] {
    receiver.last_responder = sender;
    receiver.awaits_response = false;
    run_client(receiver, [&](auto& client, TimePoint now, auto& out) {
      client.handle_response(now, response, out);
    });
  });
}

// ---- Lease clients

void SimulatedFleet::run_client(Gateway& gateway, const ClientEvent& event) {
  leases::ClientActions actions;
  event(*gateway.client, local_now(gateway), actions);
  arm_timer(gateway, *gateway.client, gateway.client_deadline, [this, &gateway] {
    run_client(gateway, [](auto& client, TimePoint now, auto& out) {
      client.tick(now, out);
    });
  });
  for (const leases::ClientAction& action : actions) {
    digest_.add_event(queue_.now(), gateway.number);
    digest_.add(action);
    if (const auto* request = std::get_if<leases::LeaseRequest>(&action))
      send(gateway, *request);
  }
}

// Sends the request only to the gateway that responded last, or to all voters if the previous
// request got no response.
void SimulatedFleet::send(Gateway& sender, const leases::LeaseRequest& request) {
  const bool to_all = std::exchange(sender.awaits_response, true);
  for (const auto& voter : gateways_) {
    if (!voter->is_voter || (!to_all && voter->name != sender.last_responder))
      continue;
    ++messages_from_others_;
    Gateway& receiver = *voter;
    transmit(sender, receiver, [this, &receiver, request] {
      run_manager(receiver, [&](auto& manager, TimePoint now, auto&) {
        manager.handle_request(now, request);
      });
    });
  }
}

void SimulatedFleet::transmit(Gateway& from, Gateway& to, const Callback& callback) {
  if (&from == &to)
    network_.send_bypassing_links(callback);
  else
    network_.send(from.number, to.number, to.process, callback);
}

// ---- Actions under a lease

void SimulatedFleet::schedule_actions(Gateway& gateway) {
  gateway.process.schedule(queue_.now() + 90ms, [this, &gateway] {
    for (const std::string& role : lease_settings_.roles)
      start_action(gateway, role);
    schedule_actions(gateway);
  });
}

// The gateway checks its token and sends the action 2 ms later; the process may stall in between.
void SimulatedFleet::start_action(Gateway& gateway, const std::string& role) {
  const auto token = gateway.client->valid_token(local_now(gateway), role);
  check_exclusive(role);
  if (!token)
    return;
  gateway.process.schedule(queue_.now() + 2ms, [this, role, token = *token] {
    network_.send_bypassing_links([this, role, token] {
      receive_action(role, token);
    });
  });
}

void SimulatedFleet::receive_action(const std::string& role, leases::FencingToken token) {
  const bool is_accepted = mutant_ == Mutant::FenceDisabled || fence_.accept(role, token);
  digest_.add(queue_.now().time_since_epoch().count());
  digest_.add(role);
  digest_.add(token);
  digest_.add(is_accepted);
  if (is_accepted)
    checker_.record_action(queue_.now(), role, token);
  else
    ++rejected_actions_;
}

void SimulatedFleet::check_exclusive(const std::string& role) const {
  std::vector<std::string> holders;
  for (const auto& gateway : gateways_) {
    const bool holds = gateway->client->valid_token(local_now(*gateway), role).has_value();
    if (gateway->process.is_alive() && holds)
      holders.push_back(gateway->name);
  }
  HistoryChecker::check_exclusive(role, holders);
}

}  // namespace gorsebeam::simulation
