// Which version of what a control service pushes runs, and what the service is told: the xDS state
// of the world, a version machine for types that refer to each other. Pure: events with their time
// in, actions out; no I/O, clock or thread. Times are nanoseconds that never go back. What is kept
// is bounded: per type one version that runs and one that waits for another type.
//
// Invariants, walked in tests/versions_test.cpp and modelled in model/versions.pml:
//  - what runs was accepted whole, and its parts fit together;
//  - nothing older replaces newer without a rollback that names the newest;
//  - each offer of a stream is answered at most once, and exactly once if the stream lasts for
//  `hold`;
//  - after a loss there is always a next dial, within `reconnect_most`.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gorsebeam::config_versions {

using Nanos = std::int64_t;
enum class Type : std::size_t { Contracts, Members, Limits };
constexpr std::size_t kTypes = 3;
const char* name_of(Type type);  // "contracts", "members", "limits"

using Body = std::shared_ptr<const void>;  // the embedder's; never looked into
using Bodies = std::array<Body, kTypes>;

struct Version {
  Body body;
  std::string version;           // as its service named it; empty for the file's
  std::uint64_t generation = 0;  // 0: not numbered, the file's alone
  std::uint64_t print = 0;       // hash of the content
  std::string source = "file";   // "file", or the control address that it came from
  Nanos accepted_at = 0;
};

struct Kept {  // of one type
  Version running;
  std::uint64_t newest = 0;  // the highest generation ever accepted
};

// Why bodies do not fit together; `reference` where another type may still bring what is missing.
struct Misfit {
  std::string why;
  bool reference = false;
};

using Judge = std::function<std::optional<Misfit>(const Bodies&)>;

struct Settings {
  std::vector<std::string> addresses;     // tried in turn; none: nothing is ever dialled
  Nanos reconnect_first = 250'000'000;    // waits: evenly drawn from 0 to this, doubled each time,
  Nanos reconnect_most = 30'000'000'000;  // up to this
  Nanos dial_most = 5'000'000'000;        // a connection that is not up by then is lost
  Nanos silence = 10'000'000'000;  // heard nothing for so long: asked; and lost after as long again
  Nanos hold = 3'000'000'000;      // how long an offer waits for another type
  Nanos run_pause = 50'000'000;    // between two runs; what comes meanwhile runs as one
  std::uint64_t seed = 1;
};

struct Offer {               // one response of the service, read and checked by itself
  std::optional<Type> type;  // none: `type_url` is unknown
  std::string type_url, version, nonce;
  std::uint64_t generation = 0, rolls_back = 0, print = 0;
  Body body;
  std::string fault;  // why it cannot be used; empty: fine by itself
};

// ---- actions
struct Dial {
  std::string address;
};

struct HangUp {};

struct Ping {};

struct Ask {  // a request on the stream: to subscribe (no nonce), to accept, or to turn down
              // (`error` says why)
  std::optional<Type> type;
  std::string type_url, version, nonce, error;
};

struct Run {  // these are in force from now on
  Bodies bodies;
  std::array<bool, kTypes> changed{};  // since the Run before, in content
};

struct Store {};  // what is kept has changed and should rest on disk

struct Note {
  enum class Kind { Lost, Found, Offered, Accepted, TurnedDown, Held };
  Kind kind = Kind::Lost;
  std::optional<Type> type;
  std::string version, nonce, text;
};

using Action = std::variant<Dial, HangUp, Ping, Ask, Run, Store, Note>;
using Actions = std::vector<Action>;

class Machine {
public:
  Machine(Settings settings, Judge judge);

  // Before begin(): what runs at first, and what rested on disk. The disk's parts are taken all or
  // none, where they fit and each is at least as new as the file's; else the reason is told, and
  // the file's run.
  void file_at_start(std::array<Version, kTypes> versions);
  std::string stored(std::array<std::optional<Kept>, kTypes> kept);

  void begin(Nanos now, Actions& actions);  // runs what there is and dials
  // The file, read again. It replaces what came from a file, and what was pushed only where it is
  // numbered newer. Not empty: why nothing was changed.
  std::string file(Nanos now, std::array<Version, kTypes> versions, Actions& actions);
  // The control service's own settings as read again. A change of addresses ends the stream.
  void follow(Nanos now, Settings settings, Actions& actions);

  void connected(Nanos now, Actions& actions);  // the stream stands
  void heard(Nanos now);                        // anything came from the service
  void offered(Nanos now, const Offer& offer, Actions& actions);
  void lost(Nanos now, const std::string& why, Actions& actions);
  void tick(Nanos now, Actions& actions);  // at due(), or any time
  Nanos due() const;  // the next time that something falls due; kNever: nothing

  static constexpr Nanos kNever = INT64_MAX;

  const Kept& kept(Type type) const { return types_[static_cast<std::size_t>(type)].kept; }

  bool streaming() const { return state_ == State::Streaming; }

  const std::string& address() const { return address_; }

private:
  enum class State { Off, Waiting, Dialing, Streaming };

  struct Held {
    Offer offer;
    Nanos until = 0;
    std::string why;
  };

  struct PerType {
    Kept kept;
    std::optional<Held> held;
    std::string told;  // the version that the service was last told we run, on whatever stream
  };

  PerType& of(Type type) { return types_[static_cast<std::size_t>(type)]; }

  std::string out_of_order(const PerType& type, const Offer& offer) const;
  void settle(Nanos now, Actions& actions);
  bool accept(Nanos now, Type type, Actions& actions);  // whether anything else runs now
  void turn_down(const Offer& offer, const std::string& why, Actions& actions);
  void changed(Nanos now, Actions& actions);
  void run(Nanos now, Actions& actions);
  void wait(Nanos now);
  void dial(Nanos now, Actions& actions);
  Bodies running() const;
  std::uint64_t draw();

  Settings s_;
  Judge judge_;
  std::array<PerType, kTypes> types_;
  State state_ = State::Off;
  std::string address_;
  std::size_t next_address_ = 0;
  int failures_ = 0;
  bool was_lost_ = false, pinged_ = false, dirty_ = false;
  Nanos at_ = kNever;                        // Waiting: the next dial; Dialing: when it is given up
  Nanos heard_at_ = 0;                       // Streaming
  std::array<std::uint64_t, kTypes> ran_{};  // prints of what runs
  Nanos ran_at_ = -1;                        // -1: never
  std::uint64_t random_;
};

}  // namespace gorsebeam::config_versions
