#include "leases.h"

#include <xxhash.h>

#include <algorithm>
#include <sstream>
#include <tuple>
#include <utility>

namespace gorsebeam::leases {
namespace {

constexpr int kLapsesMost = 5;           // a gateway that flaps is shunned for at most 32 leases
constexpr int kForgottenAfter = 10;      // leases without an ask
constexpr std::size_t kAsksMost = 8;     // remembered without an answer: two leases' worth
constexpr std::uint64_t kDeafAfter = 5;  // asks without an answer: a lease's worth

}  // namespace

bool is_name(const std::string& text) {
  return !text.empty() && text.size() <= kNameMost &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                  c == '.' || c == '_' || c == '-' || c == '~';
         });
}

std::string name_of(const std::string& holder) {
  return holder.substr(0, holder.find('~'));
}

// ---- the table

std::string Table::command(const std::string& duty, const std::string& holder, Token over) {
  return "grant " + duty + ' ' + std::to_string(over) + ' ' + holder;
}

std::string Table::apply(std::uint64_t index, const std::string& body) {
  std::istringstream words(body);
  std::string what, duty, holder;
  Token over = 0;
  if (!(words >> what >> duty >> over) || what != "grant" || !is_name(duty))
    return "";
  words >> holder;
  if (!holder.empty() && !is_name(holder))
    return "";
  const auto found = grants_.find(duty);
  if ((found == grants_.end() ? 0 : found->second.token) != over || index <= over)
    return "";
  if (found == grants_.end() && grants_.size() >= kDutiesMost)
    return "";
  grants_[duty] = {holder, index};
  return duty;
}

const Grant& Table::at(const std::string& duty) const {
  static const Grant none;
  const auto found = grants_.find(duty);
  return found == grants_.end() ? none : found->second;
}

std::string Table::packed() const {
  std::string text;
  for (const auto& [duty, grant] : grants_)
    text += duty + ' ' + std::to_string(grant.token) + ' ' + grant.holder + '\n';
  return text;
}

std::optional<Table> Table::unpacked(const std::string& text) {
  Table table;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string duty, holder;
    Token token = 0;
    if (!(words >> duty >> token) || !is_name(duty) || table.grants_.size() >= kDutiesMost)
      return std::nullopt;
    words >> holder;
    if (!holder.empty() && !is_name(holder))
      return std::nullopt;
    table.grants_[duty] = {holder, token};
  }
  return table;
}

// ---- the leader's side

Keeper::Keeper(Settings settings) : s_(std::move(settings)) {}

// Earlier leaders may have renewed any lease up to our election, for asks that they had heard by
// then.
void Keeper::lead(Nanos now, const Table& table) {
  stop();
  table_ = &table;
  for (const std::string& duty : s_.duties)
    leases_[duty].until = now + span();
  due_ = now + s_.lease / 4;
}

void Keeper::stop() {
  table_ = nullptr;
  gateways_.clear();
  flaps_.clear();
  leases_.clear();
  waiting_.clear();
}

void Keeper::asked(Nanos now, const Ask& ask) {
  if (!table_ || !is_name(ask.from))
    return;
  Gateway& gateway = gateways_[ask.from];
  gateway.zone = ask.zone, gateway.heard_at = now;
  gateway.leaving |=
      ask.leaving;  // a start that left does not come back; what comes late from it says nothing
  gateway.deaf = ask.number > ask.heard + kDeafAfter;
  if (gateway.leaving) {
    waiting_.erase(ask.from);
    for (auto& [duty, lease] : leases_)
      if (table_->at(duty).holder == ask.from)
        lease.until = std::min(lease.until, now);
    due_ = now;
    return;
  }
  // An older ask that waits is dropped: what it would have brought, the newer brings for longer.
  Waiting& waiting = waiting_[ask.from];
  if (waiting.ask.number < ask.number)
    waiting = {ask, now, 0};
  due_ = std::min(due_, now + s_.lease / 50);  // those that come meanwhile are confirmed together
}

void Keeper::confirming(std::uint64_t number) {
  for (auto& [name, waiting] : waiting_)
    if (waiting.round == 0)
      waiting.round = number;
}

void Keeper::confirmed(Nanos now, std::uint64_t number, KeeperActions& actions) {
  if (!table_)
    return;
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    const auto next = std::next(at);
    const Waiting& waiting = at->second;
    if (waiting.round != 0 && waiting.round <= number) {
      Answer answer{waiting.ask.from, waiting.ask.number, {}};
      const auto gateway = gateways_.find(waiting.ask.from);
      const bool deaf = gateway == gateways_.end() || gateway->second.deaf;
      for (auto& [duty, lease] : leases_) {
        const Grant& grant = table_->at(duty);
        // One that a successor was proposed for, or that is to go elsewhere, is not renewed.
        if (deaf || grant.holder != waiting.ask.from || lease.proposed || !lease.wish.empty())
          continue;
        lease.until = std::max(lease.until, waiting.heard_at + span());
        answer.held.emplace_back(duty, grant.token);
      }
      actions.push_back(std::move(answer));
      waiting_.erase(at);
    }
    at = next;
  }
  due_ = std::min(due_, now + s_.lease / 4);
}

void Keeper::applied(Nanos now, const std::string& duty) {
  const auto lease = leases_.find(duty);
  if (!table_ || lease == leases_.end())
    return;
  lease->second = {};
  // Told at its next ask; if it does not ask, the duty goes on to another.
  lease->second.until = table_->at(duty).holder.empty() ? now : now + span();
}

void Keeper::move(const std::string& duty, const std::string& to) {
  const auto lease = leases_.find(duty);
  if (table_ && lease != leases_.end() && name_of(table_->at(duty).holder) != to)
    lease->second.wish = to;
}

bool Keeper::fit(Nanos now, const std::string& holder) const {
  const auto found = gateways_.find(holder);
  if (found == gateways_.end())
    return false;
  const Gateway& gateway = found->second;
  return !gateway.leaving && !gateway.deaf && now - gateway.heard_at <= s_.lease / 2;
}

// The gateway with the fewest duties, of those in the zone with the fewest; one that flaps only if
// there is no other.
std::optional<std::string> Keeper::place(Nanos now, const std::string& duty) const {
  std::map<std::string, int> own, zones;
  for (const auto& [name, lease] : leases_) {
    const std::string& holder = table_->at(name).holder;
    const auto gateway = gateways_.find(holder);
    if (name == duty || gateway == gateways_.end())
      continue;
    ++own[holder], ++zones[gateway->second.zone];
  }
  const auto count = [](const auto& of, const std::string& name) {
    const auto found = of.find(name);
    return found == of.end() ? 0 : found->second;
  };
  std::optional<std::pair<std::tuple<bool, int, int, XXH64_hash_t>, std::string>> best;
  for (const auto& [name, gateway] : gateways_) {
    if (!fit(now, name))
      continue;
    const auto flap = flaps_.find(name_of(name));
    const std::string tie =
        duty + ' ' + name;  // spread over the gateways, the same at every leader
    std::tuple key(flap != flaps_.end() && now < flap->second.shunned_until, count(own, name),
                   count(zones, gateway.zone), XXH3_64bits(tie.data(), tie.size()));
    if (!best || key < best->first)
      best.emplace(key, name);
  }
  if (!best)
    return std::nullopt;
  return best->second;
}

void Keeper::tick(Nanos now, KeeperActions& actions) {
  if (!table_ || now < due_)
    return;
  due_ = now + s_.lease / 4;
  const Nanos forgotten = now - kForgottenAfter * s_.lease;
  for (auto at = gateways_.begin(); at != gateways_.end();)
    at = at->second.heard_at < forgotten ? gateways_.erase(at) : std::next(at);
  for (auto at = flaps_.begin(); at != flaps_.end();)
    at = at->second.shunned_until < forgotten ? flaps_.erase(at) : std::next(at);
  for (auto& [duty, lease] : leases_) {
    if (now < lease.until) {
      due_ = std::min(due_, lease.until);
      continue;
    }
    // A proposal that was lost with a full log, or for which another was faster, is made again.
    if (lease.proposed && now - lease.proposed_at < s_.lease)
      continue;
    const Grant& grant = table_->at(duty);
    // A holder that asks again may have the duty on, under its token, if nobody was to follow it.
    if (!lease.proposed && lease.wish.empty() && fit(now, grant.holder))
      continue;
    const auto holder = gateways_.find(grant.holder);
    const bool left = holder != gateways_.end() && holder->second.leaving;
    if (!lease.proposed && lease.wish.empty() && !grant.holder.empty() && !left) {
      Flap& flap = flaps_[name_of(grant.holder)];
      flap.lapses = std::min(flap.lapses + 1, kLapsesMost);
      flap.shunned_until = now + (s_.lease << flap.lapses);
    }
    auto to = place(now, duty);
    for (const auto& [name, gateway] : gateways_)
      if (!lease.wish.empty() && name_of(name) == lease.wish && fit(now, name))
        to = name;
    if (!to)
      continue;
    lease.proposed = true, lease.proposed_at = now;
    actions.push_back(Propose{Table::command(duty, *to, grant.token)});
  }
  const auto unasked = [](const auto& waiting) {
    return waiting.second.round == 0;
  };
  if (std::any_of(waiting_.begin(), waiting_.end(), unasked))
    actions.push_back(Confirm{});
}

// ---- every gateway's side

Holder::Holder(Settings settings, std::string self, std::string zone)
    : s_(std::move(settings)), self_(std::move(self)), zone_(std::move(zone)), random_(s_.seed) {}

void Holder::begin(Nanos now) {
  ask_at_ = due_ = now + std::uniform_int_distribution<Nanos>(0, s_.lease / 4)(random_);
}

void Holder::tick(Nanos now, HolderActions& actions) {
  for (auto at = held_.begin(); at != held_.end();) {
    if (now < at->second.until) {
      ++at;
      continue;
    }
    actions.push_back(Ended{at->first, at->second.token, true});
    at = held_.erase(at);
  }
  if (!leaving_ && now >= ask_at_) {
    sent_[++asked_] = now;
    if (sent_.size() > kAsksMost)
      sent_.erase(sent_.begin());
    ask_at_ = now + beat();
    actions.push_back(Ask{self_, zone_, asked_, answered_, false});
  }
  due_ = ask_at_;
  for (const auto& [duty, held] : held_)
    due_ = std::min(due_, held.until);
}

void Holder::answered(Nanos now, const Answer& answer, HolderActions& actions) {
  const auto sent = sent_.find(answer.number);
  // Reordered, doubled, or of another: what a newer answer told stands.
  if (answer.to != self_ || leaving_ || sent == sent_.end() || answer.number <= answered_)
    return;
  answered_ = answer.number;
  const Nanos until = sent->second + s_.lease - s_.drift();
  sent_.erase(sent_.begin(), std::next(sent));
  std::map<std::string, Held> held;
  if (now < until)
    for (const auto& [duty, token] : answer.held)
      held[duty] = {token, until};
  for (const auto& [duty, old] : held_) {
    const auto now_held = held.find(duty);
    if (now_held == held.end() || now_held->second.token != old.token)
      actions.push_back(Ended{duty, old.token, now >= old.until});
  }
  for (const auto& [duty, fresh] : held) {
    const auto before = held_.find(duty);
    if (before == held_.end() || before->second.token != fresh.token)
      actions.push_back(Started{duty, fresh.token});
  }
  held_ = std::move(held);
  due_ = std::min(due_, now < until ? until : now);
}

void Holder::leave(Nanos, HolderActions& actions) {
  leaving_ = true;
  for (const auto& [duty, held] : held_)
    actions.push_back(Ended{duty, held.token, false});
  held_.clear();
  due_ = ask_at_ = kNever;
  actions.push_back(Ask{self_, zone_, ++asked_, answered_, true});
}

std::optional<Token> Holder::may(Nanos now, const std::string& duty) const {
  const auto found = held_.find(duty);
  if (found == held_.end() || now >= found->second.until)
    return std::nullopt;
  return found->second.token;
}

bool Fence::pass(const std::string& duty, Token token) {
  const auto found = highest_.find(duty);
  if (found == highest_.end() && highest_.size() >= kDutiesMost)
    return false;
  Token& highest = highest_[duty];
  if (token < highest)
    return false;
  highest = token;
  return true;
}

}  // namespace gorsebeam::leases
