#include "command_line.h"

#include "config_command.h"
#include "exit_status.h"
#include "gateway/gateway.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gorsebeam::command_line {
namespace {

cxxopts::Options make_options() {
  cxxopts::Options options("gorsebeam",
                           "A broker of reads and writes for groups of a primary and its replicas");
  auto add = options.add_options();
  add("command", "serve, check (the files, and nothing else), config or version",
      cxxopts::value<std::string>()->default_value(""));
  add("words", "what config does: check FILE, fmt FILE, diff OLD NEW, or show with --state",
      cxxopts::value<std::vector<std::string>>()->default_value(""));
  add("config", "the platform's configuration; else what RELAY_CONFIG names",
      cxxopts::value<std::string>());
  add("file",
      "the operators' file: contracts, budgets, the second front, a control service; none: none of "
      "them",
      cxxopts::value<std::string>());
  add("state", "a state folder, for config show", cxxopts::value<std::string>());
  add("h,help", "this text");
  options.parse_positional({"command", "words"});
  options.positional_help("serve|check|config ...|version");
  return options;
}

/// Nothing where the option is not given.
std::optional<std::string> find_option(const cxxopts::ParseResult& arguments, const char* name) {
  if (arguments.count(name) == 0)
    return std::nullopt;
  return arguments[name].as<std::string>();
}

/// From the option, else from the environment; empty where neither names one.
std::string find_platform_config(const cxxopts::ParseResult& arguments) {
  if (auto path = find_option(arguments, "config"))
    return *std::move(path);
  const char* environment = std::getenv("RELAY_CONFIG");
  return environment ? environment : "";
}

int serve(gateway::Plan plan) {
  gateway::Gateway gateway(std::move(plan));
  if (const auto error = gateway.start()) {
    std::cerr << "gorsebeam: " << error->message << '\n';
    return kExitFailure;
  }
  gateway.run();
  return kExitSuccess;
}

int serve_or_check(const std::string& command, const cxxopts::ParseResult& arguments) {
  const std::string platform_config = find_platform_config(arguments);
  if (platform_config.empty()) {
    std::cerr << "gorsebeam: no configuration: give --config FILE or set RELAY_CONFIG\n";
    return kExitTrouble;
  }
  auto plan =
      gateway::read_plan(platform_config, find_option(arguments, "file").value_or(std::string()));
  if (!plan) {
    std::cerr << "gorsebeam: " << plan.error().to_string() << '\n';
    return kExitFailure;
  }
  if (command == "serve")
    return serve(std::move(plan.value()));
  std::cout << "gorsebeam: the files are fine\n";
  return kExitSuccess;
}

int run_command(const cxxopts::Options& options, const cxxopts::ParseResult& arguments) {
  const std::string command = arguments["command"].as<std::string>();
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return kExitSuccess;
  }
  if (command == "version") {
    std::cout << "gorsebeam " << GORSEBEAM_VERSION << '\n';
    return kExitSuccess;
  }
  std::vector<std::string> words;
  if (arguments.count("words") > 0)
    words = arguments["words"].as<std::vector<std::string>>();
  if (command == "config")
    return run_config_command(
        {words, find_option(arguments, "config"), find_option(arguments, "state")});
  if ((command == "serve" || command == "check") && words.empty())
    return serve_or_check(command, arguments);
  std::cerr << "gorsebeam: no command '" << command << (words.empty() ? "" : " " + words[0])
            << "'; there are serve, check, config and version\n";
  return kExitTrouble;
}

}  // namespace

int run(int argc, char** argv) {
  // Arguments that do not parse and a gateway that cannot be set up end the program.
  try {
    cxxopts::Options options = make_options();
    return run_command(options, options.parse(argc, argv));
  } catch (const std::exception& error) {
    std::cerr << "gorsebeam: " << error.what() << '\n';
    return kExitFailure;
  }
}

}  // namespace gorsebeam::command_line
