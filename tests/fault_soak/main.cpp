/// `fault_soak PROGRAM [--shim FILE] [--seeds FIRST COUNT] [--gateways N] [--seconds N] [--logs
/// DIR]` plays faults against real processes, a seed after the other, and tells what broke.
///
/// It runs by the wall clock, so that it is run by hand and not in CI. A run in which the stand-ins
/// themselves were held up is void.
#include "fault_soak_environment.h"

#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace {

using fault_soak::SoakReport;
using fault_soak::SoakSettings;

constexpr fault_soak::Millis kMaxOwnIteration = 80;

struct Options {
  SoakSettings soak;
  std::uint64_t first_seed = 1;
  int seeds = 1;
  std::string logs;
};

Options parse(const std::vector<std::string>& arguments) {
  Options options;
  options.soak.program = arguments.at(1);
  for (std::size_t i = 2; i < arguments.size(); ++i) {
    const std::string& name = arguments[i];
    if (name == "--shim")
      options.soak.shim = std::filesystem::absolute(arguments.at(++i)).string();
    else if (name == "--gateways")
      options.soak.gateways = std::stoi(arguments.at(++i));
    else if (name == "--seconds")
      options.soak.duration = 1000LL * std::stoi(arguments.at(++i));
    else if (name == "--logs")
      options.logs = arguments.at(++i);
    else if (name == "--seeds") {
      options.first_seed = std::stoull(arguments.at(++i));
      options.seeds = std::stoi(arguments.at(++i));
    } else {
      throw std::invalid_argument("unknown option " + name);
    }
  }
  return options;
}

void print(const SoakSettings& settings, const SoakReport& report) {
  std::printf("seed %llu: %zu requests, %zu attempts;",
              static_cast<unsigned long long>(settings.seed), report.requests, report.attempts);
  for (const auto& [kind, count] : report.result_counts)
    std::printf(" %s %d", kind.c_str(), count);
  std::printf("; faults:");
  for (const auto& [kind, count] : report.faults)
    std::printf(" %s %d", kind.c_str(), count);
  std::printf("; longest own iteration %lld ms; violations: %zu\n",
              static_cast<long long>(report.longest_iteration), report.violations.size());
  for (const fault_soak::Violation& violation : report.violations)
    std::printf("  %lld %s: %s\n", static_cast<long long>(violation.at), violation.rule.c_str(),
                violation.detail.c_str());
}

void write_logs(const std::string& folder, const SoakSettings& settings,
                const fault_soak::FaultSoakEnvironment& environment, const SoakReport& report) {
  const std::string place = folder + "/seed-" + std::to_string(settings.seed);
  std::filesystem::create_directories(place);
  for (int i = 0; i < settings.gateways; ++i)
    std::ofstream(place + "/n" + std::to_string(i) + ".log") << environment.log_of(i);
  std::ofstream faults(place + "/faults.txt");
  for (const std::string& line : report.fault_log)
    faults << line << '\n';
}

int play_all(Options options) {
  int broken = 0;
  int void_runs = 0;
  for (int i = 0; i < options.seeds; ++i) {
    options.soak.seed = options.first_seed + static_cast<std::uint64_t>(i);
    fault_soak::FaultSoakEnvironment environment(options.soak);
    const SoakReport report = environment.run();
    print(options.soak, report);
    if (!options.logs.empty())
      write_logs(options.logs, options.soak, environment, report);
    if (report.longest_iteration > kMaxOwnIteration)
      ++void_runs;
    else if (!report.violations.empty())
      ++broken;
    std::fflush(stdout);
  }
  std::printf("%d seeds, %d broken, %d void\n", options.seeds, broken, void_runs);
  return broken > 0 || void_runs == options.seeds ? 1 : 0;
}

}  // namespace

int main(int argument_count, char** argument_values) {
  try {
    const std::vector<std::string> arguments(argument_values, argument_values + argument_count);
    return play_all(parse(arguments));
  } catch (const std::exception& error) {
    std::fprintf(stderr,
                 "fault_soak: %s\nusage: fault_soak PROGRAM [--shim FILE] [--seeds FIRST COUNT] "
                 "[--gateways N] [--seconds N] [--logs DIR]\n",
                 error.what());
    return 2;
  }
}
