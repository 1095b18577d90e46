#include "event_digest.h"

namespace gorsebeam::simulation {

void EventDigest::add_number(std::uint64_t number) {
  constexpr std::uint64_t kPrime = 0x100000001b3;
  for (int shift = 0; shift < 64; shift += 8) {
    value_ ^= (number >> shift) & 0xff;
    value_ *= kPrime;
  }
}

void EventDigest::add(const std::string& text) {
  add(text.size());
  for (const char byte : text)
    add_number(static_cast<unsigned char>(byte));
}

void EventDigest::add_event(raft::Nanos now, int node) {
  add(now);
  add(node);
}

void EventDigest::add(const raft::Entry& entry) {
  add(entry.term);
  add(entry.index);
  add(entry.body);
}

void EventDigest::add(const raft::Snapshot& snapshot) {
  add(snapshot.index);
  add(snapshot.term);
  add(snapshot.body);
}

void EventDigest::add(const raft::Kept& state) {
  add(state.term);
  add(state.vote);
  add(state.snapshot);
  add(state.log.size());
  for (const raft::Entry& entry : state.log)
    add(entry);
}

void EventDigest::add(const raft::Message& message) {
  using Kind = raft::Message::Kind;
  add(static_cast<int>(message.kind));
  add(message.from);
  add(message.to);
  add(message.term);
  switch (message.kind) {
  case Kind::AskFresh:
    add(message.round);
    break;
  case Kind::Fresh:
    add(message.round);
    add(message.granted);
    break;
  case Kind::PreVote:
  case Kind::Vote:
    add(message.index);
    add(message.log_term);
    break;
  case Kind::PreVoted:
  case Kind::Voted:
    add(message.granted);
    break;
  case Kind::Append:
    add(message.index);
    add(message.log_term);
    add(message.commit);
    add(message.round);
    add(message.entries.size());
    for (const raft::Entry& entry : message.entries)
      add(entry);
    break;
  case Kind::Appended:
    add(message.index);
    add(message.granted);
    add(message.round);
    break;
  case Kind::Install:
    add(message.round);
    add(message.snapshot);
    break;
  }
}

void EventDigest::add(const raft::Action& action) {
  add(action.index());
  if (const auto* send = std::get_if<raft::Send>(&action)) {
    add(send->message);
  } else if (const auto* save = std::get_if<raft::Save>(&action)) {
    add(save->number);
    add(save->kept);
  } else if (const auto* apply = std::get_if<raft::Apply>(&action)) {
    add(apply->entry);
  } else if (const auto* restore = std::get_if<raft::Restore>(&action)) {
    add(restore->snapshot);
  } else if (const auto* became = std::get_if<raft::Became>(&action)) {
    add(static_cast<int>(became->role));
    add(became->term);
    add(became->leader);
  } else if (const auto* confirmed = std::get_if<raft::Confirmed>(&action)) {
    add(confirmed->number);
  } else if (const auto* regressed = std::get_if<raft::Regressed>(&action)) {
    add(regressed->voter);
  }
}

void EventDigest::add(const leases::KeeperAction& action) {
  add(action.index());
  if (const auto* propose = std::get_if<leases::Propose>(&action)) {
    add(propose->body);
  } else if (const auto* answer = std::get_if<leases::Answer>(&action)) {
    add(answer->to);
    add(answer->number);
    add(answer->held.size());
    for (const auto& [duty, token] : answer->held) {
      add(duty);
      add(token);
    }
  }
}

void EventDigest::add(const leases::HolderAction& action) {
  add(action.index());
  if (const auto* ask = std::get_if<leases::Ask>(&action)) {
    add(ask->from);
    add(ask->zone);
    add(ask->number);
    add(ask->heard);
    add(ask->leaving);
  } else if (const auto* started = std::get_if<leases::Started>(&action)) {
    add(started->duty);
    add(started->token);
  } else if (const auto* ended = std::get_if<leases::Ended>(&action)) {
    add(ended->duty);
    add(ended->token);
    add(ended->lapsed);
  }
}

}  // namespace gorsebeam::simulation
