#include "version_tracker.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::config_versions {

const char* name_of(Type type) {
  constexpr const char* names[kTypes] = {"contracts", "members", "limits"};
  return names[static_cast<std::size_t>(type)];
}

Machine::Machine(Settings settings, Judge judge)
    : s_(std::move(settings)), judge_(std::move(judge)), random_(s_.seed | 1) {}

std::uint64_t Machine::draw() {  // xorshift64*
  random_ ^= random_ >> 12, random_ ^= random_ << 25, random_ ^= random_ >> 27;
  return random_ * 0x2545F4914F6CDD1DULL;
}

Bodies Machine::running() const {
  Bodies bodies;
  for (std::size_t i = 0; i < kTypes; ++i)
    bodies[i] = types_[i].kept.running.body;
  return bodies;
}

void Machine::file_at_start(std::array<Version, kTypes> versions) {
  for (std::size_t i = 0; i < kTypes; ++i) {
    types_[i].kept.newest = versions[i].generation;
    types_[i].kept.running = std::move(versions[i]);
  }
}

std::string Machine::stored(std::array<std::optional<Kept>, kTypes> kept) {
  Bodies bodies = running();
  for (std::size_t i = 0; i < kTypes; ++i)
    if (kept[i] && kept[i]->newest >= types_[i].kept.newest)
      bodies[i] = kept[i]->running.body;
    else
      kept[i].reset();  // the file's is newer
  if (const auto misfit = judge_(bodies))
    return misfit->why;
  for (std::size_t i = 0; i < kTypes; ++i) {
    if (!kept[i])
      continue;
    types_[i].told = kept[i]->running.version;
    types_[i].kept = std::move(*kept[i]);
  }
  return "";
}

void Machine::begin(Nanos now, Actions& actions) {
  run(now, actions);
  actions.pop_back();  // what rests on disk rests there already
  if (!s_.addresses.empty())
    dial(now, actions);
}

std::string Machine::file(Nanos now, std::array<Version, kTypes> versions, Actions& actions) {
  Bodies bodies = running();
  std::array<bool, kTypes> taken{};
  for (std::size_t i = 0; i < kTypes; ++i) {
    const Kept& kept = types_[i].kept;
    taken[i] = kept.running.source == "file" || versions[i].generation > kept.newest;
    if (taken[i])
      bodies[i] = versions[i].body;
  }
  if (const auto misfit = judge_(bodies))
    return misfit->why;
  bool differs = false;
  for (std::size_t i = 0; i < kTypes; ++i) {
    if (!taken[i])
      continue;
    Kept& kept = types_[i].kept;
    differs |= kept.running.print != versions[i].print;
    kept.newest = std::max(kept.newest, versions[i].generation);
    kept.running = std::move(versions[i]);
    kept.running.accepted_at = now;
  }
  if (differs)
    run(now, actions);   // an operator waits for it
  settle(now, actions);  // what was held may fit now
  return "";
}

void Machine::follow(Nanos now, Settings settings, Actions& actions) {
  const bool moved = settings.addresses != s_.addresses;
  s_ = std::move(settings);
  if (!moved)
    return;
  if (state_ == State::Dialing || state_ == State::Streaming)
    actions.emplace_back(HangUp{});
  for (PerType& type : types_)
    type.held.reset();
  state_ = State::Off, at_ = kNever, next_address_ = 0, failures_ = 0;
  if (!s_.addresses.empty())
    dial(now, actions);
}

void Machine::dial(Nanos now, Actions& actions) {
  address_ = s_.addresses[next_address_++ % s_.addresses.size()];
  state_ = State::Dialing;
  at_ = now + s_.dial_most;
  actions.emplace_back(Dial{address_});
}

// Exponential with full jitter: many gateways that lost one service must not come back as one.
void Machine::wait(Nanos now) {
  const int doublings = std::min(failures_++, 30);
  const Nanos most = s_.reconnect_first > s_.reconnect_most >> doublings
                         ? s_.reconnect_most
                         : s_.reconnect_first << doublings;
  state_ = State::Waiting;
  at_ = now + static_cast<Nanos>(draw() % static_cast<std::uint64_t>(std::max<Nanos>(most, 1) + 1));
}

void Machine::connected(Nanos now, Actions& actions) {
  if (state_ != State::Dialing)
    return;
  state_ = State::Streaming;
  at_ = kNever, heard_at_ = now, pinged_ = false;
  for (std::size_t i = 0; i < kTypes; ++i) {
    Ask ask;
    ask.type = static_cast<Type>(i);
    ask.version = types_[i].told;
    actions.emplace_back(std::move(ask));
  }
}

void Machine::heard(Nanos now) {
  heard_at_ = now, pinged_ = false;
}

void Machine::lost(Nanos now, const std::string& why, Actions& actions) {
  if (state_ != State::Dialing && state_ != State::Streaming)
    return;
  // What was held cannot be answered any more; the next stream offers it again.
  for (PerType& type : types_)
    type.held.reset();
  Note note;
  note.kind = Note::Kind::Lost, note.text = why;
  actions.emplace_back(std::move(note));
  was_lost_ = true;
  wait(now);
}

// Why an offer may not replace what runs; empty: it may. The service's own versions have no order,
// generations do.
std::string Machine::out_of_order(const PerType& type, const Offer& offer) const {
  const std::string generation = std::to_string(offer.generation),
                    newest = std::to_string(type.kept.newest);
  if (offer.generation == 0)
    return "it has no generation; number changes from 1";
  if (offer.rolls_back != 0) {
    if (offer.rolls_back >= type.kept.newest)
      return "";
    return "it rolls back generation " + std::to_string(offer.rolls_back) + ", but " + newest +
           " is the newest accepted";
  }
  if (offer.generation > type.kept.newest)
    return "";
  if (offer.generation < type.kept.newest)
    return "generation " + generation + " is older than " + newest + ", the newest accepted";
  if (type.kept.running.generation < type.kept.newest)
    return "generation " + generation + " was rolled back";
  return "generation " + generation + " came before with other content";
}

void Machine::offered(Nanos now, const Offer& offer, Actions& actions) {
  if (state_ != State::Streaming)
    return;
  heard(now);
  Note note;
  note.kind = Note::Kind::Offered;
  note.type = offer.type, note.version = offer.version, note.nonce = offer.nonce;
  actions.emplace_back(std::move(note));
  if (!offer.type)
    return turn_down(offer, "type " + offer.type_url + " is not known here", actions);
  PerType& type = of(*offer.type);
  if (type.held) {
    const Held old = std::move(*type.held);
    type.held.reset();
    turn_down(old.offer, "version " + offer.version + " came before what it refers to: " + old.why,
              actions);
  }
  if (!offer.fault.empty())
    return turn_down(offer, offer.fault, actions);
  if (offer.generation != 0 && offer.generation == type.kept.running.generation &&
      offer.print == type.kept.running.print) {
    type.held = Held{offer, now, ""};  // it is what runs
    accept(now, *offer.type, actions);
    return;
  }
  const std::string order = out_of_order(type, offer);
  if (!order.empty())
    return turn_down(offer, order, actions);
  type.held = Held{offer, now + s_.hold, ""};
  settle(now, actions);
  if (!type.held)
    return;
  Bodies bodies = running();
  bodies[static_cast<std::size_t>(*offer.type)] = offer.body;
  const auto misfit = judge_(bodies);
  type.held->why = misfit ? misfit->why : "";
  if (misfit && !misfit->reference) {
    type.held.reset();
    return turn_down(offer, misfit->why, actions);
  }
  Note waits;
  waits.kind = Note::Kind::Held;
  waits.type = offer.type, waits.version = offer.version, waits.nonce = offer.nonce,
  waits.text = type.held->why;
  actions.emplace_back(std::move(waits));
}

// Takes the largest set of held offers that fits together with what runs: together or not at all.
void Machine::settle(Nanos now, Actions& actions) {
  std::vector<unsigned> sets;
  for (unsigned set = 1; set < 1u << kTypes; ++set) {
    bool all_held = true;
    for (std::size_t i = 0; i < kTypes; ++i)
      all_held &= !(set >> i & 1) || types_[i].held.has_value();
    if (all_held)
      sets.push_back(set);
  }
  const auto size = [](unsigned set) {
    return (set & 1) + (set >> 1 & 1) + (set >> 2 & 1);
  };
  std::stable_sort(sets.begin(), sets.end(), [&](unsigned a, unsigned b) {
    return size(a) > size(b);
  });
  for (const unsigned set : sets) {
    Bodies bodies = running();
    for (std::size_t i = 0; i < kTypes; ++i)
      if (set >> i & 1)
        bodies[i] = types_[i].held->offer.body;
    if (judge_(bodies))
      continue;
    bool differs = false;  // run only once all are in place
    for (std::size_t i = 0; i < kTypes; ++i)
      if (set >> i & 1)
        differs |= accept(now, static_cast<Type>(i), actions);
    if (differs)
      changed(now, actions);
    return;
  }
}

bool Machine::accept(Nanos now, Type which, Actions& actions) {
  PerType& type = of(which);
  const Offer offer = std::move(type.held->offer);
  type.held.reset();
  const bool same =
      offer.generation == type.kept.running.generation && offer.print == type.kept.running.print;
  type.kept.newest = std::max(type.kept.newest, offer.generation);
  type.kept.running.generation = offer.generation;
  type.kept.running.version = type.told = offer.version;
  const bool rests = same && type.kept.running.source != "file";
  type.kept.running.source = address_;
  if (same && !rests)
    actions.emplace_back(Store{});
  if (!same) {
    type.kept.running.body = offer.body;
    type.kept.running.print = offer.print;
    type.kept.running.accepted_at = now;
  }
  failures_ = 0;  // a service that gives something good is worth coming back to at once
  if (std::exchange(was_lost_, false)) {
    Note found;
    found.kind = Note::Kind::Found;
    actions.emplace_back(std::move(found));
  }
  actions.emplace_back(Ask{which, offer.type_url, offer.version, offer.nonce, ""});
  Note note;
  note.kind = Note::Kind::Accepted;
  note.type = which, note.version = offer.version, note.nonce = offer.nonce;
  note.text = same ? "the same as runs" : "generation " + std::to_string(offer.generation);
  actions.emplace_back(std::move(note));
  return !same;
}

void Machine::turn_down(const Offer& offer, const std::string& why, Actions& actions) {
  Ask ask{offer.type, offer.type_url, offer.type ? of(*offer.type).told : "", offer.nonce, why};
  actions.emplace_back(std::move(ask));
  Note note;
  note.kind = Note::Kind::TurnedDown;
  note.type = offer.type, note.version = offer.version, note.nonce = offer.nonce, note.text = why;
  actions.emplace_back(std::move(note));
}

// Many versions in a burst run as one: only the newest need be applied.
void Machine::changed(Nanos now, Actions& actions) {
  dirty_ = true;
  if (ran_at_ < 0 || now - ran_at_ >= s_.run_pause)
    run(now, actions);
}

void Machine::run(Nanos now, Actions& actions) {
  Run run{running(), {}};
  for (std::size_t i = 0; i < kTypes; ++i) {
    const std::uint64_t print = types_[i].kept.running.print;
    run.changed[i] = ran_at_ < 0 || print != ran_[i];
    ran_[i] = print;
  }
  dirty_ = false;
  ran_at_ = now;
  actions.emplace_back(std::move(run));
  actions.emplace_back(Store{});
}

Nanos Machine::due() const {
  Nanos due = at_;
  if (dirty_)
    due = std::min(due, ran_at_ + s_.run_pause);
  if (state_ != State::Streaming)
    return due;
  due = std::min(due, heard_at_ + s_.silence * (pinged_ ? 2 : 1));
  for (const PerType& type : types_)
    if (type.held)
      due = std::min(due, type.held->until);
  return due;
}

void Machine::tick(Nanos now, Actions& actions) {
  if (dirty_ && now - ran_at_ >= s_.run_pause)
    run(now, actions);
  if (state_ == State::Waiting && now >= at_)
    return dial(now, actions);
  if (state_ == State::Dialing && now >= at_) {
    actions.emplace_back(HangUp{});
    return lost(now, "it did not come up in time", actions);
  }
  if (state_ != State::Streaming)
    return;
  for (PerType& type : types_) {
    if (!type.held || now < type.held->until)
      continue;
    const Held held = std::move(*type.held);
    type.held.reset();
    turn_down(held.offer, held.why + "; nothing brought it in time", actions);
  }
  if (!pinged_ && now - heard_at_ >= s_.silence) {
    pinged_ = true;
    actions.emplace_back(Ping{});
  } else if (pinged_ && now - heard_at_ >= 2 * s_.silence) {
    actions.emplace_back(HangUp{});
    lost(now, "it is silent, also when asked", actions);
  }
}

}  // namespace gorsebeam::config_versions
