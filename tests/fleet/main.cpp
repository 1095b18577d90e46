/// Runs simulated fleets and checks their histories (deterministic simulation testing, as in
/// FoundationDB).
///
///   simulation [SEEDS [FIRST]]    runs SEEDS seeds (default: 1000) from FIRST (default: 1) on;
///                                 prints the fault script of the lowest seed that violates a rule
///   simulation --script FILE      runs a printed script
///   simulation --cost GATEWAYS    prints the messages per second without faults, of the leader
///                                 and of the other gateways
///   simulation --mutants SEEDS    requires that each mutant is detected within SEEDS seeds
///   simulation --digest SEEDS     prints a hash over all messages and actions of the seeds 0 to
///                                 SEEDS - 1
///
/// The exit status is 0 if no rule was violated, or every mutant was detected, and 1 otherwise.
#include "simulated_fleet.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace gorsebeam::simulation {
namespace {

/// The results of several runs, added up.
struct Totals {
  std::uint64_t actions = 0;
  std::uint64_t rejected_actions = 0;
  std::vector<Duration> handover_times;

  void add(const Totals& other) {
    actions += other.actions;
    rejected_actions += other.rejected_actions;
    handover_times.insert(handover_times.end(), other.handover_times.begin(),
                          other.handover_times.end());
  }
};

/// Runs one script. Returns the violation, or nothing if every rule held; in that case the run is
/// added to `totals`.
std::optional<std::string> run_script(const FaultScript& script, Mutant mutant, Totals& totals) {
  try {
    SimulatedFleet fleet(script, mutant);
    fleet.run();
    totals.add(
        {fleet.checker().actions(), fleet.rejected_actions(), fleet.checker().handover_times()});
  } catch (const RuleViolation& violation) {
    return violation.what();
  }
  return std::nullopt;
}

double to_milliseconds(Duration time) {
  return ratio(time, 1ms);
}

/// Returns the percentile in milliseconds, or 0 if there are no times. `sorted_times` is in
/// ascending order.
double percentile(const std::vector<Duration>& sorted_times, double fraction) {
  if (sorted_times.empty())
    return 0;
  const auto last = static_cast<double>(sorted_times.size() - 1);
  return to_milliseconds(sorted_times[static_cast<std::size_t>(fraction * last)]);
}

int run_script_file(const std::string& path) {
  std::ifstream file(path);
  const std::optional<FaultScript> script = read_fault_script(file);
  if (!script) {
    std::cerr << "cannot read a fault script from " << path << '\n';
    return 1;
  }
  Totals totals;
  const std::optional<std::string> violation = run_script(*script, Mutant::None, totals);
  std::cout << violation.value_or("every rule held") << '\n';
  return violation ? 1 : 0;
}

int run_mutants(std::uint64_t seeds) {
  bool all_detected = true;
  Totals totals;
  for (const auto& [mutant, name] : kMutants) {
    std::optional<std::string> violation;
    std::uint64_t seed = 0;
    while (!violation && seed < seeds) {
      ++seed;
      violation = run_script(draw_fault_script(seed), mutant, totals);
    }
    std::cout << name << ": ";
    if (violation)
      std::cout << "detected at seed " << seed << ": " << *violation << '\n';
    else
      std::cout << "NOT detected within " << seeds << " seeds\n";
    all_detected = all_detected && violation.has_value();
  }
  return all_detected ? 0 : 1;
}

int print_cost(int gateways) {
  constexpr int kVoters = 5;
  FaultScript script;
  script.voters = kVoters;
  script.gateways = std::max(kVoters, gateways);
  SimulatedFleet fleet(script, Mutant::None);
  fleet.run();
  const double seconds = ratio(kRunEnd.time_since_epoch(), 1s);
  const double from_leader = static_cast<double>(fleet.messages_from_leader()) / seconds;
  const double from_others = static_cast<double>(fleet.messages_from_others()) / seconds;
  std::cout << script.gateways << " gateways, " << kVoters << " voters, lease " << std::fixed
            << std::setprecision(0) << to_milliseconds(kLeaseDuration)
            << " ms, heartbeat 100 ms: the leader sends " << std::setprecision(1) << from_leader
            << " messages a second, each other gateway " << from_others / (script.gateways - 1)
            << '\n';
  return 0;
}

int print_digest(std::uint64_t seeds) {
  EventDigest digest;
  for (std::uint64_t seed = 0; seed < seeds; ++seed) {
    SimulatedFleet fleet(draw_fault_script(seed), Mutant::None);
    fleet.run();
    digest.add(fleet.digest().value());
  }
  std::cout << "digest of " << seeds << " seeds: " << std::hex << std::setfill('0') << std::setw(16)
            << digest.value() << '\n';
  return 0;
}

void print_totals(std::uint64_t seeds, Totals totals) {
  std::vector<Duration>& times = totals.handover_times;
  std::sort(times.begin(), times.end());
  std::cout << seeds << " seeds: every rule held; " << totals.actions << " actions, "
            << totals.rejected_actions << " rejected by their token; " << times.size()
            << " handovers, ms between actions " << std::fixed << std::setprecision(0) << "p50 "
            << percentile(times, 0.5) << " p99 " << percentile(times, 0.99) << " max "
            << percentile(times, 1) << ", lease " << to_milliseconds(kLeaseDuration) << '\n';
}

/// Runs the simulations of several seeds, which are independent, on several threads.
class SeedRunner {
public:
  SeedRunner(std::uint64_t first, std::uint64_t seeds) : first_(first), seeds_(seeds) {}

  int run() {
    const unsigned workers = std::clamp(std::thread::hardware_concurrency(), 1U, 8U);
    std::vector<std::thread> threads;
    for (unsigned worker = 0; worker < workers; ++worker)
      threads.emplace_back([this, worker, workers] {
        run_worker(worker, workers);
      });
    for (std::thread& thread : threads)
      thread.join();
    if (violations_.empty()) {
      print_totals(seeds_, totals_);
      return 0;
    }
    const auto& [seed, rule] = *violations_.begin();
    std::cout << "seed " << seed << ": " << rule << "\nthe script, for --script:\n";
    print_fault_script(draw_fault_script(seed), std::cout);
    return 1;
  }

private:
  // Each worker runs every `workers`th seed and stops at its first violation, so the lowest seed
  // that violates a rule is among those found.
  void run_worker(unsigned worker, unsigned workers) {
    Totals totals;
    std::optional<std::string> violation;
    std::uint64_t seed = first_ + worker;
    while (seed < first_ + seeds_) {
      violation = run_script(draw_fault_script(seed), Mutant::None, totals);
      if (violation)
        break;
      seed += workers;
    }
    const std::lock_guard lock(mutex_);
    totals_.add(totals);
    if (violation)
      violations_[seed] = *violation;
  }

  std::uint64_t first_;
  std::uint64_t seeds_;
  std::mutex mutex_;
  Totals totals_;                                    ///< Guarded by `mutex_`.
  std::map<std::uint64_t, std::string> violations_;  ///< By seed; guarded by `mutex_`.
};

std::optional<std::uint64_t> parse_number(const std::string& text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end)
    return std::nullopt;
  return number;
}

int print_usage() {
  std::cerr
      << "usage: simulation [SEEDS [FIRST]] | --script FILE | --cost GATEWAYS | --mutants SEEDS | "
         "--digest SEEDS\n";
  return 1;
}

int run_option(const std::string& option, const std::string& argument) {
  if (option == "--script")
    return run_script_file(argument);
  const std::optional<std::uint64_t> number = parse_number(argument);
  if (!number)
    return print_usage();
  if (option == "--mutants")
    return run_mutants(*number);
  if (option == "--digest")
    return print_digest(*number);
  if (option == "--cost")
    return print_cost(static_cast<int>(*number));
  return print_usage();
}

int run(const std::vector<std::string>& arguments) {
  constexpr std::uint64_t kDefaultSeeds = 1000;
  if (arguments.size() > 2)
    return print_usage();
  if (arguments.size() == 2 && arguments[0].rfind("--", 0) == 0)
    return run_option(arguments[0], arguments[1]);
  const auto seeds = arguments.empty() ? kDefaultSeeds : parse_number(arguments[0]);
  const auto first = arguments.size() < 2 ? 1 : parse_number(arguments[1]);
  if (!seeds || !first)
    return print_usage();
  return SeedRunner(*first, *seeds).run();
}

}  // namespace
}  // namespace gorsebeam::simulation

int main(int argument_count, char** arguments) {
  try {
    return gorsebeam::simulation::run({arguments + 1, arguments + argument_count});
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
}
