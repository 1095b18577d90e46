// The embedding of the Raft nodes: their messages, writes and log.
#include "simulated_fleet.h"

namespace gorsebeam::simulation {

void SimulatedFleet::run_node(Gateway& gateway, const NodeEvent& event) {
  raft::Actions actions;
  event(*gateway.node, local_now(gateway), actions);
  for (const raft::Action& action : actions) {
    digest_.add_event(queue_.now(), gateway.number);
    digest_.add(action);
    perform(gateway, action);
  }
  arm_timer(gateway, *gateway.node, gateway.node_deadline, [this, &gateway] {
    run_node(gateway, [](auto& node, TimePoint now, auto& out) {
      node.tick(now, out);
    });
  });
}

void SimulatedFleet::perform(Gateway& gateway, const raft::Action& action) {
  if (const auto* outgoing = std::get_if<raft::SendMessage>(&action)) {
    send(gateway, outgoing->message);
  } else if (const auto* write = std::get_if<raft::PersistState>(&action)) {
    persist(gateway, *write);
  } else if (const auto* committed = std::get_if<raft::ApplyEntry>(&action)) {
    apply(gateway, committed->entry);
  } else if (const auto* installed = std::get_if<raft::RestoreSnapshot>(&action)) {
    restore(gateway, installed->snapshot);
  } else if (std::holds_alternative<raft::RequestSnapshot>(action)) {
    run_node(gateway, [&](auto& node, TimePoint, auto& out) {
      node.compact_log(gateway.table.serialize(), out);
    });
  } else if (const auto* change = std::get_if<raft::RoleChanged>(&action)) {
    record_role_change(gateway, *change);
  } else if (const auto* confirmed = std::get_if<raft::LeadershipConfirmed>(&action)) {
    run_manager(gateway, [&](auto& manager, TimePoint now, auto& out) {
      manager.handle_leadership_confirmed(now, confirmed->heartbeat_round, out);
    });
  }
}

void SimulatedFleet::send(Gateway& sender, const raft::Message& message) {
  if (sender.node->role() == raft::Role::Leader)
    ++messages_from_leader_;
  else
    ++messages_from_others_;
  Gateway& receiver = gateway_named(message.to);
  transmit(sender, receiver, [this, &receiver, message] {
    run_node(receiver, [&](auto& node, TimePoint now, auto& out) {
      node.handle_message(now, message, out);
    });
  });
}

void SimulatedFleet::persist(Gateway& gateway, const raft::PersistState& write) {
  const std::uint64_t number = write.number;
  const bool acknowledges_early = mutant_ == Mutant::AcknowledgesBeforePersist;
  if (acknowledges_early)
    gateway.process.schedule(queue_.now(), [this, &gateway, number] {
      report_persisted(gateway, number);
    });
  const auto on_done = [this, &gateway, number, acknowledges_early](WriteResult result) {
    if (acknowledges_early)
      return;
    if (result == WriteResult::Persisted)
      return report_persisted(gateway, number);
    run_node(gateway, [](auto& node, TimePoint now, auto& out) {
      node.handle_persist_failure(now, out);
    });
  };
  gateway.disk.write(gateway.process, write.state, on_done);
}

void SimulatedFleet::report_persisted(Gateway& gateway, std::uint64_t number) {
  run_node(gateway, [number](auto& node, TimePoint now, auto& out) {
    node.handle_persisted(now, number, out);
  });
}

void SimulatedFleet::apply(Gateway& gateway, const raft::LogEntry& entry) {
  checker_.record_applied(entry);
  const std::optional<std::string> role = gateway.table.apply(entry.index, entry.command);
  checker_.record_state(entry.index, gateway.table.serialize());
  if (role)
    gateway.manager->handle_grant_applied(local_now(gateway), *role);
  // Once a leader applies the no-op entry of its own term, it has applied all committed entries.
  const bool leads = gateway.node->role() == raft::Role::Leader;
  if (!leads || entry.term != gateway.node->current_term() || !entry.command.empty())
    return;
  const Duration skipped_wait = mutant_ == Mutant::LeaderSkipsWait ? 2 * kLeaseDuration : 0ms;
  run_manager(gateway, [&](auto& manager, TimePoint now, auto&) {
    manager.start_leading(now - skipped_wait, gateway.table);
  });
}

void SimulatedFleet::restore(Gateway& gateway, const raft::Snapshot& snapshot) {
  const std::optional<leases::LeaseTable> table = leases::LeaseTable::parse(snapshot.state);
  if (!table)
    throw RuleViolation("snapshot: " + gateway.name +
                        " cannot parse the state of the snapshot at index " +
                        std::to_string(snapshot.index) + ": \"" + snapshot.state + "\"");
  gateway.table = *table;
  checker_.record_state(snapshot.index, gateway.table.serialize());
}

void SimulatedFleet::record_role_change(Gateway& gateway, const raft::RoleChanged& change) {
  if (change.role == raft::Role::Leader)
    checker_.record_leader(change.term, gateway.number);
  else
    gateway.manager->stop_leading();
}

}  // namespace gorsebeam::simulation
