// Duties that one gateway of a fleet holds at a time. Pure: events with their time in, actions out;
// no I/O, clock or thread. Times are nanoseconds of the caller's own monotonic clock; those of two
// gateways are never compared, only spans are, and clocks are taken to run at rates that differ
// from true time by at most `drift_ppm`.
//
// A duty has a holder and a fencing token, the index of the log entry that granted it; tokens only
// grow. The lease is economy: it keeps two gateways from doing the same work. It counts from before
// the holder asked, less the drift, and whoever grants the duty anew waits the whole lease and the
// drift from when it heard the ask. The token is safety: a holder that was stopped after it last
// looked at its clock may act late, and the receiver turns its lower token down.
//
// Renewals are not in the log. A leader answers an ask only once a majority has confirmed, after
// the ask came, that it still leads; so whoever leads later was elected after the ask, and waits a
// whole lease from its election.
//
// Invariants, checked by tests/fleet/simulation.cpp over thousands of seeds and searched in
// model/duties.pml:
//  - at no true time may two gateways `may` the same duty, where all clocks keep within the drift;
//  - of two grants of a duty the later has the higher token;
//  - a Fence that has passed a token passes no lower one after.
//
// A gateway asks under its name and its start, "NAME~START", START drawn at each start: one that
// was restarted, or another of the same name, is another holder. One that asks but does not hear
// the answers is not renewed.
//
// Bounds: kDutiesMost duties, names of at most kNameMost bytes (letters, digits, '.', '_', '-',
// '~'); of each gateway that asked within the last ten leases one row, of each at most one ask that
// waits.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace gorsebeam::leases {

using Nanos = std::int64_t;
using Token = std::uint64_t;  // 0: never granted
constexpr Nanos kNever = INT64_MAX;
constexpr std::size_t kDutiesMost = 64, kNameMost = 96;
bool is_name(const std::string& text);
std::string name_of(const std::string& holder);  // without its start

struct Settings {
  std::vector<std::string> duties;  // at most kDutiesMost; the same at every gateway
  Nanos lease = 3'000'000'000;
  std::int64_t drift_ppm = 500;  // how far a clock's rate may be off; below 100,000
  std::uint64_t seed = 1;

  Nanos drift() const { return lease / 1'000'000 * drift_ppm; }
};

struct Grant {
  std::string holder;  // empty: nobody, and never was, or it was given up
  Token token = 0;
};

// What the log's entries amount to, the same at every voter.
class Table {
public:
  // The entry's text for a grant that holds only if the duty's token is still `over`.
  static std::string command(const std::string& duty, const std::string& holder, Token over);
  // The duty that the entry changed; empty: none (another was faster, or it is none of ours).
  std::string apply(std::uint64_t index, const std::string& body);
  const Grant& at(const std::string& duty) const;
  std::string packed() const;
  static std::optional<Table> unpacked(const std::string& text);

private:
  std::map<std::string, Grant> grants_;
};

struct Ask {  // of a gateway, every quarter of a lease
  std::string from, zone;
  std::uint64_t number = 0;  // grows from 1
  std::uint64_t heard = 0;   // the newest answer that came
  bool leaving = false;      // it acts no more, and takes no duty
};

struct Answer {
  std::string to;
  std::uint64_t number = 0;  // the ask's
  std::vector<std::pair<std::string, Token>> held;
};

// ---- the leader's side
struct Confirm {};  // ask a majority whether we lead, and tell `confirming` its number

struct Propose {
  std::string body;
};

using KeeperAction = std::variant<Confirm, Propose, Answer>;
using KeeperActions = std::vector<KeeperAction>;

class Keeper {
public:
  explicit Keeper(Settings settings);

  // From now on this gateway leads, and `table` holds all that earlier leaders committed.
  void lead(Nanos now, const Table& table);
  void stop();  // it does not lead any more

  bool leads() const { return table_ != nullptr; }

  void asked(Nanos now, const Ask& ask);
  void confirming(std::uint64_t number);
  void confirmed(Nanos now, std::uint64_t number, KeeperActions& actions);
  void applied(Nanos now, const std::string& duty);  // the table that was given has changed
  void move(const std::string& duty,
            const std::string& to);  // an operator's wish: at its next ask the holder is let go
  void tick(Nanos now, KeeperActions& actions);  // at due(), or any time

  Nanos due() const { return table_ ? due_ : kNever; }

private:
  struct Gateway {
    std::string zone;
    Nanos heard_at = 0;
    bool leaving = false, deaf = false;  // deaf: it asks, and hears no answer
  };

  struct Flap {      // by name, as starts differ
    int lapses = 0;  // duties that ended without a word, lately
    Nanos shunned_until = 0;
  };

  struct Lease {
    Nanos until = 0;        // the holder may act until then, by our clock
    bool proposed = false;  // a successor is on its way through the log: not renewed
    Nanos proposed_at = 0;
    std::string wish;  // the name of who is to have it next
  };

  struct Waiting {
    Ask ask;
    Nanos heard_at = 0;
    std::uint64_t round = 0;  // 0: not asked yet
  };

  Nanos span() const {
    return s_.lease + s_.drift();
  }  // what the holder may make of a lease, by our clock

  bool fit(Nanos now, const std::string& holder) const;  // to hold a duty: it asks, hears and stays
  std::optional<std::string> place(Nanos now, const std::string& duty) const;

  Settings s_;
  const Table* table_ = nullptr;
  std::map<std::string, Gateway> gateways_;  // by holder
  std::map<std::string, Flap> flaps_;
  std::map<std::string, Lease> leases_;
  std::map<std::string, Waiting> waiting_;  // by gateway
  Nanos due_ = kNever;
};

// ---- every gateway's side
struct Started {
  std::string duty;
  Token token = 0;
};

struct Ended {
  std::string duty;
  Token token = 0;
  bool lapsed = false;  // by its clock; else it was told
};

using HolderAction = std::variant<Ask, Started, Ended>;
using HolderActions = std::vector<HolderAction>;

class Holder {
public:
  Holder(Settings settings, std::string self, std::string zone);

  void begin(Nanos now);  // asks first after a wait drawn from the beat: starts do not fall in step
  void tick(Nanos now, HolderActions& actions);
  void answered(Nanos now, const Answer& answer, HolderActions& actions);
  void leave(Nanos now, HolderActions& actions);  // gives all up, at once

  Nanos due() const { return due_; }

  // The token to act under, looked at before every act. Nothing: the duty is not held, or its lease
  // has run out.
  std::optional<Token> may(Nanos now, const std::string& duty) const;

private:
  Nanos beat() { return std::uniform_int_distribution<Nanos>(s_.lease / 5, s_.lease / 4)(random_); }

  Settings s_;
  std::string self_, zone_;
  std::uint64_t asked_ = 0, answered_ = 0;
  std::map<std::uint64_t, Nanos> sent_;  // asks without an answer, at most eight

  struct Held {
    Token token = 0;
    Nanos until = 0;
  };

  std::map<std::string, Held> held_;
  bool leaving_ = false;
  Nanos ask_at_ = kNever, due_ = kNever;
  std::mt19937_64 random_;
};

// ---- the receiver's side: what is done under a duty is turned down where a higher token was seen.
class Fence {
public:
  bool pass(const std::string& duty, Token token);

private:
  std::map<std::string, Token> highest_;
};

}  // namespace gorsebeam::leases
