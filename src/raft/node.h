// One log that a few named voters agree on, so that no minority decides anything: Raft, with
// pre-vote and check-quorum. Pure: events with their time in, actions out; no I/O, clock, thread or
// disk. Times are nanoseconds of the caller's own monotonic clock; no two voters' clocks are
// compared, and no rule of safety hangs on any of them.
//
// Disk. What a voter promises (a vote, an entry taken) is told only once the embedder has said by
// `saved` that it rests on disk; until then the message is held here. The whole of what is kept
// goes to disk at once, replacing what was there. A voter whose disk fails promises nothing and
// leads nothing until a save succeeds.
//
// A voter that finds nothing on its disk may have voted before and lost it. It is mute (it neither
// votes nor takes entries) until every other voter has said that it, too, has never voted for
// anyone: only a fleet's first start looks like that, and the first leader is one that all voters
// agree on. An older copy of the folder cannot be told from the newest by its owner; the leader
// tells of a voter that has less than it had (Regressed) and counts it no more in that term. What
// neither tells: an older copy put back while the leader changes.
//
// Invariants, checked by tests/fleet/simulation.cpp over thousands of seeds:
//  - at most one leader a term;
//  - what is applied at an index is the same at every voter, for good;
//  - a number that `confirm` gave is confirmed only if nobody led a later term when it was given.
//
// Bounds: a leader's log is compacted beyond `log_most` entries and takes no proposal beyond twice
// as many; a message holds at most `entries_most` entries; of the messages held for the disk there
// are two of each kind and receiver.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace gorsebeam::raft {

using Nanos = std::int64_t;
using Term = std::uint64_t;
using Index = std::uint64_t;
constexpr Nanos kNever = INT64_MAX;

struct Entry {
  Term term = 0;
  Index index = 0;
  std::string body;  // empty: a new leader's first, which says nothing
};

struct Snapshot {  // the state after all entries up to `index`
  Index index = 0;
  Term term = 0;
  std::string body;
};

struct Kept {  // what rests on disk
  Term term = 0;
  std::string vote;  // given in `term`; empty: none
  Snapshot snapshot;
  std::vector<Entry> log;  // follows the snapshot without a gap
};

struct Settings {
  std::string self;
  std::vector<std::string> voters;  // 3, 5 or 7 names, each once, `self` among them
  Nanos heartbeat = 200'000'000;    // of a leader, while nothing else is said
  Nanos election =
      1'000'000'000;  // silence after which a leader is doubted: drawn from this to its double
  std::size_t log_most = 256;     // entries
  std::size_t entries_most = 64;  // in one message
  std::uint64_t seed = 1;
};

struct Message {
  enum class Kind { AskFresh, Fresh, PreVote, PreVoted, Vote, Voted, Append, Appended, Install };
  Kind kind = Kind::Append;
  std::string from, to;
  Term term = 0;
  Index index =
      0;  // the entry before `entries`; a candidate's last; Appended: the last that is the leader's
  Term log_term = 0;     // that entry's term
  Index commit = 0;      // Append
  bool granted = false;  // Fresh, PreVoted, Voted, Appended
  std::uint64_t round =
      0;  // Append, Appended: which round of the leader's is answered; AskFresh, Fresh: which start
  std::vector<Entry> entries;
  Snapshot snapshot;  // Install
};

// ---- actions
struct Send {
  Message message;
};

struct Save {  // to disk, whole; `saved` tells of the newest that rests there
  std::uint64_t number = 0;
  Kept kept;
};

struct Apply {  // in order of index, each once since the start or the last Restore
  Entry entry;
};

struct Restore {  // forget the state and take this one
  Snapshot snapshot;
};

struct Compact {};  // the log is long: give the state after the last Apply by `compact`

struct Became {  // for the log and for what stands on top
  enum class Role { Mute, Follower, Candidate, Leader };
  Role role = Role::Follower;
  Term term = 0;
  std::string leader;  // as far as known; empty: nobody
};

struct Confirmed {  // `confirm`s up to this number: when it was given, this voter led, and nobody
                    // led later
  std::uint64_t number = 0;
};

struct Regressed {  // a voter has less than it told before: its folder is an older copy
  std::string voter;
};

using Action = std::variant<Send, Save, Apply, Restore, Compact, Became, Confirmed, Regressed>;
using Actions = std::vector<Action>;

class Voter {
public:
  // `kept`: what rested on disk; none: nothing did, or it could not be read.
  Voter(Settings settings, std::optional<Kept> kept);

  void begin(Nanos now, Actions& actions);
  void received(Nanos now, const Message& message, Actions& actions);
  void saved(Nanos now, std::uint64_t number,
             Actions& actions);  // that one and all before rest on disk
  void save_failed(Nanos now, Actions& actions);
  void tick(Nanos now, Actions& actions);  // at due(), or any time

  Nanos due() const { return std::min(due_, retry_at_); }

  // Where this voter leads: appends, and returns the entry's index. Nothing: it does not lead, or
  // the log is full.
  std::optional<Index> propose(Nanos now, std::string body, Actions& actions);
  // Where this voter leads: asks the others whether it still does. The number that Confirmed will
  // name; 0: it does not.
  std::uint64_t confirm(Nanos now, Actions& actions);
  void compact(std::string state, Actions& actions);  // the state after the last Apply

  using Role = Became::Role;

  Role role() const { return role_; }

  Term term() const { return kept_.term; }

  const std::string& leader() const { return leader_; }

  Index commit() const { return commit_; }

  Index last() const { return kept_.snapshot.index + kept_.log.size(); }

  const Snapshot& snapshot() const { return kept_.snapshot; }

private:
  struct Peer {  // as the leader knows it
    Index next = 1, match = 0;
    std::uint64_t round = 0;  // the newest that it answered
    Nanos heard_at = 0;
    std::uint64_t matched_in = 0;  // the round whose answer showed `match`
    bool busy = false;             // entries are out to it
    bool counted = true;           // false: it has less than it told
  };

  Term term_at(Index index) const;  // 0: not held

  std::size_t majority() const { return s_.voters.size() / 2 + 1; }

  bool is_voter(const std::string& name) const;
  Message to(const std::string& name, Message::Kind kind) const;
  void broadcast(Message::Kind kind, Actions& actions);
  void tell(Message message, Actions& actions);     // at once
  void promise(Message message, Actions& actions);  // once all that is kept now rests on disk

  bool on_disk(std::uint64_t number) const { return !sick_ && number <= saved_; }

  void save(Actions& actions);
  void truncate(Index from);
  void become(Nanos now, Role role, const std::string& leader, Actions& actions);
  void follow(Nanos now, Term term, const std::string& leader, Actions& actions);
  void wait(Nanos now);  // for a leader to speak
  void campaign(Nanos now, Actions& actions);
  void count(Nanos now, Actions& actions);  // the votes so far
  void lead(Nanos now, Actions& actions);
  void send_entries(const std::string& name, Peer& peer, Actions& actions);
  void
  advance(Actions& actions);  // commits what a majority has, and confirms what a majority answered
  void apply(Actions& actions);
  void append(const Message& message, Actions& actions);
  void install(const Message& message, Actions& actions);
  void appended(Nanos now, const Message& message, Actions& actions);
  bool newer(const Message& candidate) const;  // its log is at least as new as ours

  Settings s_;
  Kept kept_;
  bool fresh_;         // nothing was found on disk
  bool sick_ = false;  // the last save failed
  Role role_ = Role::Follower;
  bool pre_ = false;  // Candidate: only asks whether it would be elected
  std::string leader_;
  Index commit_ = 0, applied_ = 0;
  Nanos due_ = kNever, retry_at_ = kNever;
  Nanos heard_at_ = -kNever;             // from a leader of this term
  std::map<std::string, bool> answers_;  // Mute: who is fresh; Candidate: who is for it
  std::map<std::string, Peer> peers_;    // Leader
  std::uint64_t round_ = 0, confirmed_ = 0;
  std::uint64_t saves_ = 0, saved_ = 0,
                vote_save_ = 0;  // the last is the save that holds our vote for ourselves
  std::deque<std::pair<std::uint64_t, Index>> out_;  // saves on the way, and the last entry of each
  Index durable_ = 0;                                // of our own log
  std::vector<std::pair<std::uint64_t, Message>>
      held_;  // promises, and the save that each waits for
  bool dirty_ = false, compacting_ = false;
  std::mt19937_64 random_;
};

}  // namespace gorsebeam::raft
