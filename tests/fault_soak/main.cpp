/// Runs the fault soak, once for each seed: injects faults into gateway processes and reports which
/// rules the gateways violated.
///
///   fault_soak PROGRAM [--shim FILE] [--seeds FIRST COUNT] [--gateways N] [--seconds N]
///              [--logs DIR] [--profile recovery]
///
/// A run without violations in which the soak's own event loop stalled is invalid. The exit status
/// is 0 if no run violated a rule and at least one was clean, 1 if a run violated a rule, 2 if the
/// arguments are wrong or the soak could not run, and 3 if every run was invalid.
#include "fault_soak_environment.h"

#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

using fault_soak::SoakReport;
using fault_soak::SoakSettings;

struct Options {
  SoakSettings soak;
  std::uint64_t first_seed = 1;
  int seed_count = 1;
  std::string log_folder;  ///< Empty: no logs are written.
};

Options parse(const std::vector<std::string>& arguments) {
  Options options;
  options.soak.program = arguments.at(1);
  for (std::size_t i = 2; i < arguments.size(); ++i) {
    const std::string& name = arguments[i];
    ++i;
    const std::string& value = arguments.at(i);
    if (name == "--shim") {
      options.soak.shim = std::filesystem::absolute(value).string();
    } else if (name == "--gateways") {
      options.soak.gateways = std::stoi(value);
    } else if (name == "--seconds") {
      options.soak.duration = 1000LL * std::stoi(value);
    } else if (name == "--logs") {
      options.log_folder = value;
    } else if (name == "--profile" && value == "recovery") {
      options.soak.profile = fault_soak::FaultProfile::Recovery;
      options.soak.clients_per_gateway = 12;
      options.soak.max_think_time = 1000;
    } else if (name == "--seeds") {
      options.first_seed = std::stoull(value);
      ++i;
      options.seed_count = std::stoi(arguments.at(i));
    } else {
      throw std::invalid_argument("unknown option '" + name + "'");
    }
  }
  return options;
}

void print_report(const SoakSettings& settings, const SoakReport& report) {
  std::printf("seed %llu: %zu requests, %zu attempts;",
              static_cast<unsigned long long>(settings.seed), report.requests, report.attempts);
  for (const auto& [result, count] : report.result_counts)
    std::printf(" %s %d", result.c_str(), count);
  std::printf("; faults:");
  for (const auto& [kind, count] : report.fault_counts)
    std::printf(" %s %d", kind.c_str(), count);
  std::printf("; slow start at most %.0f %% of the budget", 100 * report.slow_start_utilization);
  std::printf("; longest iteration of the soak's event loop %lld ms; violations: %zu\n",
              static_cast<long long>(report.longest_iteration), report.violations.size());
  for (const fault_soak::Violation& violation : report.violations)
    std::printf("  at %lld ms, rule %s: %s\n", static_cast<long long>(violation.at),
                violation.rule.c_str(), violation.detail.c_str());
}

void write_logs(const std::string& folder, const SoakSettings& settings,
                const fault_soak::FaultSoakEnvironment& environment, const SoakReport& report) {
  const std::string run_folder = folder + "/seed-" + std::to_string(settings.seed);
  std::filesystem::create_directories(run_folder);
  for (int i = 0; i < settings.gateways; ++i)
    std::ofstream(run_folder + "/n" + std::to_string(i) + ".log") << environment.log_of(i);
  std::ofstream faults(run_folder + "/faults.txt");
  for (const std::string& line : report.fault_log)
    faults << line << '\n';
}

int run_all_seeds(Options options) {
  fault_soak::VerdictCounts counts;
  for (int i = 0; i < options.seed_count; ++i) {
    options.soak.seed = options.first_seed + static_cast<std::uint64_t>(i);
    fault_soak::FaultSoakEnvironment environment(options.soak);
    const SoakReport report = environment.run();
    print_report(options.soak, report);
    if (!options.log_folder.empty())
      write_logs(options.log_folder, options.soak, environment, report);
    counts.add(report.verdict);
    std::fflush(stdout);
  }
  std::printf("%d runs: %d with violations, %d clean, %d invalid\n", options.seed_count,
              counts.violated, counts.clean, counts.invalid);
  return fault_soak::exit_status(counts);
}

}  // namespace

int main(int argument_count, char** argument_values) {
  try {
    const std::vector<std::string> arguments(argument_values, argument_values + argument_count);
    return run_all_seeds(parse(arguments));
  } catch (const std::exception& error) {
    std::fprintf(stderr,
                 "fault_soak: %s\nusage: fault_soak PROGRAM [--shim FILE] [--seeds FIRST COUNT] "
                 "[--gateways N] [--seconds N] [--logs DIR] [--profile recovery]\n",
                 error.what());
    return 2;
  }
}
