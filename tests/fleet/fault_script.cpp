#include "fault_script.h"

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>
#include <random>
#include <utility>

namespace gorsebeam::simulation {
namespace {

constexpr std::array<std::pair<FaultKind, const char*>, 9> kFaultNames{{
    {FaultKind::Kill, "kill"},
    {FaultKind::Wipe, "wipe"},
    {FaultKind::Start, "start"},
    {FaultKind::Stall, "stall"},
    {FaultKind::Wake, "wake"},
    {FaultKind::Cut, "cut"},
    {FaultKind::Heal, "heal"},
    {FaultKind::DiskFails, "disk"},
    {FaultKind::DiskWorks, "mend"},
}};

const char* name_of(FaultKind kind) {
  for (const auto& [known, name] : kFaultNames)
    if (known == kind)
      return name;
  return "";
}

std::optional<FaultKind> parse_fault_kind(const std::string& text) {
  for (const auto& [kind, name] : kFaultNames)
    if (text == name)
      return kind;
  return std::nullopt;
}

class ScriptBuilder {
public:
  explicit ScriptBuilder(std::uint64_t seed) : random_(seed * 7919 + 1) { script_.seed = seed; }

  FaultScript build() {
    script_.voters = draw_below(4) > 0 ? 3 : 5;
    script_.gateways = script_.voters + draw_below(3);
    const int count = 1 + draw_below(12);
    for (int i = 0; i < count; ++i)
      add_random_fault();
    // Overlapping faults may leave a gateway stalled or dead, so all gateways are woken and started
    // when the faults end.
    for (int gateway = 0; gateway < script_.gateways; ++gateway) {
      add(kFaultsEnd, FaultKind::Wake, gateway);
      add(kFaultsEnd, FaultKind::Start, gateway);
    }
    return std::move(script_);
  }

private:
  int draw_below(int limit) {
    return static_cast<int>(random_() % static_cast<std::uint64_t>(limit));
  }

  void add(TimePoint at, FaultKind kind, int gateway, int peer = 0) {
    script_.faults.push_back({at, kind, gateway, peer});
  }

  void add_random_fault() {
    const TimePoint at(std::chrono::milliseconds(1 + draw_below(5500)));
    const TimePoint end =
        std::min(at + std::chrono::milliseconds(1 + draw_below(4000)), kFaultsEnd);
    const int gateway = draw_below(script_.gateways);
    const int peer = draw_below(script_.gateways);
    switch (draw_below(7)) {
    case 0:
    case 1:
      add(at, FaultKind::Kill, gateway);
      add(end, FaultKind::Start, gateway);
      break;
    case 2:
    case 3:
      add(at, FaultKind::Stall, gateway);
      add(end, FaultKind::Wake, gateway);
      break;
    case 4:
      add_cuts(at, end, gateway, peer);
      break;
    case 5:
      add(at, FaultKind::DiskFails, gateway);
      add(end, FaultKind::DiskWorks, gateway);
      break;
    default:
      add_wipe(at, gateway);
      break;
    }
  }

  // Cuts the links from the gateway to one peer (odd seeds) or to all peers (even seeds). Each link
  // in the reverse direction is cut with probability one half.
  void add_cuts(TimePoint at, TimePoint end, int gateway, int peer) {
    for (int other = 0; other < script_.gateways; ++other) {
      if (other == gateway || (other != peer && script_.seed % 2 == 1))
        continue;
      add(at, FaultKind::Cut, gateway, other);
      add(end, FaultKind::Heal, gateway, other);
      if (draw_below(2) > 0)
        continue;
      add(at, FaultKind::Cut, other, gateway);
      add(end, FaultKind::Heal, other, gateway);
    }
  }

  // At most one voter loses its state, because the loss of a majority cannot be recovered.
  void add_wipe(TimePoint at, int gateway) {
    if (gateway >= script_.voters || has_wipe_)
      return;
    has_wipe_ = true;
    add(at, FaultKind::Wipe, gateway);
    add(at + 300ms, FaultKind::Start, gateway);
  }

  std::mt19937_64 random_;
  FaultScript script_;
  bool has_wipe_ = false;
};

}  // namespace

FaultScript draw_fault_script(std::uint64_t seed) {
  return ScriptBuilder(seed).build();
}

void print_fault_script(const FaultScript& script, std::ostream& out) {
  out << "seed " << script.seed << ' ' << script.voters << ' ' << script.gateways << '\n';
  for (const Fault& fault : script.faults)
    out << fault.at.time_since_epoch() / 1ms << ' ' << name_of(fault.kind) << ' ' << fault.gateway
        << ' ' << fault.peer << '\n';
}

std::optional<FaultScript> read_fault_script(std::istream& in) {
  FaultScript script;
  std::string word;
  in >> word >> script.seed >> script.voters >> script.gateways;
  if (!in || word != "seed")
    return std::nullopt;
  Fault fault;
  std::int64_t milliseconds = 0;
  while (in >> milliseconds >> word >> fault.gateway >> fault.peer) {
    const std::optional<FaultKind> kind = parse_fault_kind(word);
    if (!kind)
      return std::nullopt;
    fault.at = TimePoint(std::chrono::milliseconds(milliseconds));
    fault.kind = *kind;
    script.faults.push_back(fault);
  }
  return script;
}

}  // namespace gorsebeam::simulation
