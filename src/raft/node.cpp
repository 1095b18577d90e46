#include "node.h"

#include <utility>

namespace gorsebeam::raft {

using Kind = Message::Kind;

Voter::Voter(Settings settings, std::optional<Kept> kept)
    : s_(std::move(settings)), fresh_(!kept), random_(s_.seed) {
  if (kept)
    kept_ = std::move(*kept);
  commit_ = applied_ = kept_.snapshot.index;
  durable_ = last();
}

Term Voter::term_at(Index index) const {
  if (index == kept_.snapshot.index)
    return kept_.snapshot.term;
  if (index < kept_.snapshot.index || index > last())
    return 0;
  return kept_.log[index - kept_.snapshot.index - 1].term;
}

bool Voter::is_voter(const std::string& name) const {
  return std::find(s_.voters.begin(), s_.voters.end(), name) != s_.voters.end();
}

// ---- what is told, and what must rest on disk before

Message Voter::to(const std::string& name, Kind kind) const {
  Message message;
  message.kind = kind;
  message.from = s_.self, message.to = name;
  message.term = kept_.term;
  return message;
}

void Voter::tell(Message message, Actions& actions) {
  actions.push_back(Send{std::move(message)});
}

void Voter::promise(Message message, Actions& actions) {
  const std::uint64_t needed = dirty_ ? saves_ + 1 : saves_;
  if (on_disk(needed))
    return tell(std::move(message), actions);
  if (sick_)
    return;
  // Bounds what is held: of one kind to one receiver the oldest, which is told soonest, and the
  // newest.
  const auto same = [&](const auto& held) {
    return held.second.kind == message.kind && held.second.to == message.to;
  };
  const auto newest = std::find_if(held_.rbegin(), held_.rend(), same);
  if (std::count_if(held_.begin(), held_.end(), same) >= 2)
    *newest = {needed, std::move(message)};
  else
    held_.emplace_back(needed, std::move(message));
}

void Voter::broadcast(Kind kind, Actions& actions) {
  for (const std::string& name : s_.voters) {
    if (name == s_.self)
      continue;
    Message message = to(name, kind);
    message.index = last(), message.log_term = term_at(last());
    if (kind == Kind::AskFresh)
      message.round = round_;
    if (kind == Kind::PreVote)
      message.term = kept_.term + 1;
    if (kind == Kind::Vote)
      promise(std::move(message), actions);  // our own vote is one: it rests first
    else
      tell(std::move(message), actions);
  }
}

void Voter::save(Actions& actions) {
  if (!dirty_)
    return;
  dirty_ = false;
  out_.emplace_back(++saves_, last());
  actions.push_back(Save{saves_, kept_});
}

void Voter::saved(Nanos now, std::uint64_t number, Actions& actions) {
  saved_ = std::max(saved_, std::min(number, saves_));
  for (; !out_.empty() && out_.front().first <= saved_; out_.pop_front())
    durable_ = out_.front().second;
  if (std::exchange(sick_, false))
    retry_at_ = kNever;
  std::vector<std::pair<std::uint64_t, Message>> wait;
  for (auto& [needed, message] : held_) {
    if (needed <= saved_)
      tell(std::move(message), actions);
    else
      wait.emplace_back(needed, std::move(message));
  }
  held_ = std::move(wait);
  if (role_ == Role::Candidate)
    count(now, actions);
  if (role_ == Role::Leader)
    advance(actions);
  save(actions);
}

// Nothing that was held may be told, as it may never have reached the disk; what the others ask
// again is answered anew.
void Voter::save_failed(Nanos now, Actions& actions) {
  sick_ = true;
  held_.clear();
  retry_at_ = now + s_.election;
  if (role_ == Role::Leader || role_ == Role::Candidate)
    follow(now, kept_.term, "", actions);
  save(actions);
}

// What is on the way to the disk, or rests there, no longer tells of these entries.
void Voter::truncate(Index from) {
  kept_.log.resize(from - kept_.snapshot.index - 1);
  durable_ = std::min(durable_, from - 1);
  for (auto& [number, last] : out_)
    last = std::min(last, from - 1);
}

// ---- roles

void Voter::become(Nanos now, Role role, const std::string& leader, Actions& actions) {
  role_ = role;
  leader_ = leader;
  if (role != Role::Leader)
    peers_.clear();
  answers_.clear();
  wait(now);
  actions.push_back(Became{role_, kept_.term, leader_});
}

void Voter::wait(Nanos now) {
  due_ = now + std::uniform_int_distribution<Nanos>(s_.election, 2 * s_.election)(random_);
}

void Voter::follow(Nanos now, Term term, const std::string& leader, Actions& actions) {
  if (term == kept_.term && role_ == Role::Follower && leader == leader_)
    return;
  if (term > kept_.term) {
    kept_.term = term, kept_.vote.clear();
    dirty_ = true;
  }
  become(now, Role::Follower, leader, actions);
}

void Voter::begin(Nanos now, Actions& actions) {
  if (!fresh_) {
    if (kept_.snapshot.index > 0)
      actions.push_back(Restore{kept_.snapshot});
    return become(now, Role::Follower, "", actions);
  }
  round_ = random_();  // tells the answers to this start from those to an earlier one
  become(now, Role::Mute, "", actions);
  broadcast(Kind::AskFresh, actions);
  due_ = now + s_.heartbeat;
}

void Voter::tick(Nanos now, Actions& actions) {
  if (now >= retry_at_) {
    retry_at_ = now + s_.election;
    dirty_ = true;
  }
  if (now >= due_) {
    if (role_ == Role::Mute) {
      broadcast(Kind::AskFresh, actions);
      due_ = now + s_.heartbeat;
    } else if (role_ != Role::Leader) {
      sick_ ? wait(now) : campaign(now, actions);
    } else {
      // Check-quorum: one that no majority answers leads nobody, and says so.
      std::size_t heard = 1;
      for (const auto& [name, peer] : peers_)
        heard += now - peer.heard_at <= s_.election;
      if (heard < majority()) {
        follow(now, kept_.term, "", actions);
      } else {
        ++round_;
        for (auto& [name, peer] : peers_) {
          peer.busy = false;  // lost, or late: again
          send_entries(name, peer, actions);
        }
        due_ = now + s_.heartbeat;
      }
    }
  }
  save(actions);
}

void Voter::campaign(Nanos now, Actions& actions) {
  become(now, Role::Candidate, "", actions);
  pre_ = true;
  broadcast(Kind::PreVote, actions);
}

void Voter::count(Nanos now, Actions& actions) {
  std::size_t votes = pre_ || on_disk(vote_save_) ? 1 : 0;
  for (const auto& [name, granted] : answers_)
    votes += granted;
  // Nobody leads a first term while one is still mute, as that one could never tell that it has not
  // voted.
  const std::size_t needed = pre_ && kept_.term == 0 ? s_.voters.size() : majority();
  if (votes < needed)
    return;
  if (!pre_)
    return lead(now, actions);
  ++kept_.term;
  kept_.vote = s_.self;
  dirty_ = true;
  become(now, Role::Candidate, "", actions);
  pre_ = false;
  vote_save_ = saves_ + 1;
  broadcast(Kind::Vote, actions);
}

void Voter::lead(Nanos now, Actions& actions) {
  become(now, Role::Leader, s_.self, actions);
  for (const std::string& name : s_.voters) {
    if (name == s_.self)
      continue;
    Peer& peer = peers_[name];
    peer.next = last() + 1;
    peer.heard_at = now;
  }
  ++round_;
  kept_.log.push_back(
      {kept_.term, last() + 1, ""});  // what earlier terms left is committed with it
  dirty_ = true;
  for (auto& [name, peer] : peers_)
    send_entries(name, peer, actions);
  due_ = now + s_.heartbeat;
}

// ---- the leader

void Voter::send_entries(const std::string& name, Peer& peer, Actions& actions) {
  Message message = to(name, Kind::Append);
  message.round = round_;
  message.commit = commit_;
  if (peer.next <= kept_.snapshot.index) {
    if (peer.busy)
      return;
    message.kind = Kind::Install;
    message.snapshot = kept_.snapshot;
    peer.busy = true;
    return tell(std::move(message), actions);
  }
  message.index = peer.next - 1;
  message.log_term = term_at(message.index);
  if (!peer.busy) {
    const auto begin =
        kept_.log.begin() + static_cast<std::ptrdiff_t>(peer.next - kept_.snapshot.index - 1);
    const auto left = static_cast<std::size_t>(kept_.log.end() - begin);
    message.entries.assign(begin,
                           begin + static_cast<std::ptrdiff_t>(std::min(left, s_.entries_most)));
    peer.busy = !message.entries.empty();
  }
  tell(std::move(message), actions);
}

std::optional<Index> Voter::propose(Nanos, std::string body, Actions& actions) {
  if (role_ != Role::Leader || kept_.log.size() >= 2 * s_.log_most)
    return std::nullopt;
  kept_.log.push_back({kept_.term, last() + 1, std::move(body)});
  dirty_ = true;
  for (auto& [name, peer] : peers_)
    if (!peer.busy)
      send_entries(name, peer, actions);
  save(actions);
  return last();
}

std::uint64_t Voter::confirm(Nanos, Actions& actions) {
  if (role_ != Role::Leader)
    return 0;
  ++round_;
  for (auto& [name, peer] : peers_)
    send_entries(name, peer, actions);
  return round_;
}

void Voter::appended(Nanos now, const Message& message, Actions& actions) {
  const auto found = peers_.find(message.from);
  if (role_ != Role::Leader || found == peers_.end() || message.round > round_)
    return;
  Peer& peer = found->second;
  peer.heard_at = now;
  peer.round = std::max(peer.round, message.round);
  if (message.granted) {
    if (message.index > last())
      return;
    if (message.index >= peer.match)
      peer.match = message.index, peer.matched_in = message.round;
    peer.next = std::max(peer.next, peer.match + 1);
    peer.busy = false;
    if (peer.next <= last())
      send_entries(message.from, peer, actions);
  } else if (message.index < peer.match) {
    // Entries go out only behind what it has shown to hold, so it does not hold that any more; or
    // this is old.
    if (message.round <= peer.matched_in)
      return;
    if (std::exchange(peer.counted, false))
      actions.push_back(Regressed{message.from});
    peer.match = message.index, peer.next = peer.match + 1, peer.busy = false;
  } else if (message.index + 1 < peer.next) {
    peer.next = message.index + 1, peer.busy = false;
    send_entries(message.from, peer, actions);
  }
  advance(actions);
}

void Voter::advance(Actions& actions) {
  std::vector<Index> matches{durable_};
  std::vector<std::uint64_t> rounds{round_};
  for (const auto& [name, peer] : peers_) {
    if (!peer.counted)
      continue;
    matches.push_back(peer.match);
    rounds.push_back(peer.round);
  }
  if (matches.size() < majority())
    return;
  const auto nth = [this](auto& values) {
    std::sort(values.rbegin(), values.rend());
    return values[majority() - 1];
  };
  const Index most = nth(matches);
  if (most > commit_ &&
      term_at(most) == kept_.term) {  // earlier terms' entries go with one of its own
    commit_ = most;
    apply(actions);
  }
  if (const std::uint64_t round = nth(rounds); round > confirmed_) {
    confirmed_ = round;
    actions.push_back(Confirmed{round});
  }
}

// ---- the log

void Voter::apply(Actions& actions) {
  while (applied_ < commit_)
    actions.push_back(Apply{kept_.log[++applied_ - kept_.snapshot.index - 1]});
  if (compacting_ || applied_ - kept_.snapshot.index <= s_.log_most)
    return;
  compacting_ = true;
  actions.push_back(Compact{});
}

void Voter::compact(std::string state, Actions& actions) {
  compacting_ = false;
  if (applied_ == kept_.snapshot.index)
    return;
  const Term term = term_at(applied_);
  kept_.log.erase(kept_.log.begin(),
                  kept_.log.begin() + static_cast<std::ptrdiff_t>(applied_ - kept_.snapshot.index));
  kept_.snapshot = {applied_, term, std::move(state)};
  dirty_ = true;
  save(actions);
}

void Voter::append(const Message& message, Actions& actions) {
  Message answer = to(message.from, Kind::Appended);
  answer.round = message.round;
  const Index before = message.index, end = before + message.entries.size();
  for (std::size_t i = 0; i < message.entries.size(); ++i)
    if (message.entries[i].index != before + 1 + i)
      return;  // no leader's
  if (before > last() || (before >= kept_.snapshot.index && term_at(before) != message.log_term)) {
    answer.index = std::max(std::min(last(), before - 1), commit_);
    return tell(std::move(answer), actions);
  }
  for (const Entry& entry : message.entries) {
    if (entry.index <= kept_.snapshot.index || term_at(entry.index) == entry.term)
      continue;
    if (entry.index <= commit_)
      return;  // what is committed stays, whoever says otherwise
    if (entry.index <= last())
      truncate(entry.index);
    kept_.log.push_back(entry);
    dirty_ = true;
  }
  commit_ = std::max(commit_, std::min(message.commit, end));
  apply(actions);
  answer.granted = true;
  answer.index = std::max(end, std::min(commit_, last()));
  promise(std::move(answer), actions);
}

void Voter::install(const Message& message, Actions& actions) {
  const Snapshot& snapshot = message.snapshot;
  if (snapshot.index > commit_) {
    const bool fits = term_at(snapshot.index) == snapshot.term && snapshot.index <= last();
    if (fits) {
      kept_.log.erase(kept_.log.begin(),
                      kept_.log.begin() +
                          static_cast<std::ptrdiff_t>(snapshot.index - kept_.snapshot.index));
    } else {
      truncate(kept_.snapshot.index + 1);
    }
    kept_.snapshot = snapshot;
    commit_ = applied_ = snapshot.index;
    compacting_ = false;
    dirty_ = true;
    actions.push_back(Restore{snapshot});
  }
  Message answer = to(message.from, Kind::Appended);
  answer.round = message.round;
  answer.granted = true;
  answer.index = commit_;
  promise(std::move(answer), actions);
}

// ---- messages

bool Voter::newer(const Message& candidate) const {
  const Term ours = term_at(last());
  return candidate.log_term > ours || (candidate.log_term == ours && candidate.index >= last());
}

void Voter::received(Nanos now, const Message& message, Actions& actions) {
  if (message.to != s_.self || message.from == s_.self || !is_voter(message.from))
    return;
  const Kind kind = message.kind;
  if (kind == Kind::AskFresh) {
    Message answer = to(message.from, Kind::Fresh);
    answer.round = message.round;
    answer.granted = kept_.term == 0 && last() == 0;
    return tell(std::move(answer), actions);
  }
  if (kind == Kind::Fresh) {
    if (role_ != Role::Mute || message.round != round_)
      return;
    answers_[message.from] |= message.granted;
    const auto fresh = [](const auto& answer) {
      return answer.second;
    };
    if (answers_.size() + 1 < s_.voters.size() ||
        !std::all_of(answers_.begin(), answers_.end(), fresh))
      return;
    round_ = 0;
    dirty_ = true;  // so that the next start finds something
    become(now, Role::Follower, "", actions);
    return save(actions);
  }
  if (role_ == Role::Mute)
    return;
  // Whoever has heard a leader lately elects no other: one that was cut off does not unseat a sound
  // leader.
  const bool content = role_ == Role::Leader || (!leader_.empty() && now - heard_at_ < s_.election);
  if (kind == Kind::PreVote) {
    Message answer = to(message.from, Kind::PreVoted);
    answer.granted = message.term > kept_.term && !content && !sick_ && newer(message);
    if (!answer.granted)
      return tell(std::move(answer), actions);
    answer.term = message.term;
    return promise(std::move(answer), actions);  // that we are no longer mute rests on disk
  }
  if (kind == Kind::Vote && content && message.term > kept_.term)
    return;
  if (kind == Kind::PreVoted && message.granted) {
    if (role_ != Role::Candidate || !pre_ || message.term != kept_.term + 1)
      return;
    answers_[message.from] = true;
    count(now, actions);
    return save(actions);
  }
  if (message.term > kept_.term)
    follow(now, message.term, "", actions);
  const bool late = message.term < kept_.term;
  switch (kind) {
  case Kind::Vote: {
    Message answer = to(message.from, Kind::Voted);
    const bool free = kept_.vote.empty() || kept_.vote == message.from;
    if (late || !free || sick_ || role_ != Role::Follower || !newer(message)) {
      tell(std::move(answer), actions);
      break;
    }
    if (kept_.vote.empty())
      kept_.vote = message.from, dirty_ = true;
    wait(now);
    answer.granted = true;
    promise(std::move(answer), actions);
    break;
  }
  case Kind::Voted:
    if (late || !message.granted || role_ != Role::Candidate || pre_)
      break;
    answers_[message.from] = true;
    count(now, actions);
    break;
  case Kind::Append:
  case Kind::Install:
    if (late) {  // tells an old leader that it is one
      Message answer = to(message.from, Kind::Appended);
      tell(std::move(answer), actions);
      break;
    }
    if (role_ == Role::Leader)
      break;  // two of one term: not ours to mend
    follow(now, message.term, message.from, actions);
    heard_at_ = now;
    wait(now);
    kind == Kind::Append ? append(message, actions) : install(message, actions);
    break;
  case Kind::Appended:
    if (!late)
      appended(now, message, actions);
    break;
  default:
    break;
  }
  save(actions);
}

}  // namespace gorsebeam::raft
