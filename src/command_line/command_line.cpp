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
  cxxopts::Options options(
      "gorsebeam", "Routes reads and writes to replica groups, each a primary and its replicas");
  auto add = options.add_options();
  add("command", "serve; check, which only validates the files; config; or version",
      cxxopts::value<std::string>()->default_value(""));
  add("words", "for config: check FILE, fmt FILE, diff OLD NEW, or show with --state",
      cxxopts::value<std::vector<std::string>>()->default_value(""));
  add("config", "the platform configuration; by default the file that RELAY_CONFIG names",
      cxxopts::value<std::string>());
  add("file",
      "the operators' file, which configures contracts, budgets, the MongoDB frontend and a "
      "control service; without it these are off",
      cxxopts::value<std::string>());
  add("state", "the state folder that config show reads", cxxopts::value<std::string>());
  add("h,help", "print this help");
  options.parse_positional({"command", "words"});
  options.positional_help("serve|check|config ...|version");
  return options;
}

/// The option's value; nothing if the option is not given.
std::optional<std::string> find_option(const cxxopts::ParseResult& arguments, const char* name) {
  if (arguments.count(name) == 0)
    return std::nullopt;
  return arguments[name].as<std::string>();
}

/// The path from `--config`, else from RELAY_CONFIG; empty if neither is given.
std::string find_platform_config(const cxxopts::ParseResult& arguments) {
  if (auto path = find_option(arguments, "config"))
    return *std::move(path);
  const char* environment = std::getenv("RELAY_CONFIG");
  return environment ? environment : "";
}

int serve(gateway::GatewayConfig config) {
  gateway::Gateway gateway(std::move(config));
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
    std::cerr << "gorsebeam: no platform configuration: give --config FILE or set RELAY_CONFIG\n";
    return kExitTrouble;
  }
  auto config = gateway::read_gateway_config(
      platform_config, find_option(arguments, "file").value_or(std::string()));
  if (!config) {
    std::cerr << "gorsebeam: " << config.error().to_string() << '\n';
    return kExitFailure;
  }
  if (command == "serve")
    return serve(std::move(config.value()));
  std::cout << "gorsebeam: the files are valid\n";
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
  std::vector<std::string> positional;
  if (arguments.count("words") > 0)
    positional = arguments["words"].as<std::vector<std::string>>();
  if (command == "config")
    return run_config_command(
        {positional, find_option(arguments, "config"), find_option(arguments, "state")});
  if ((command == "serve" || command == "check") && positional.empty())
    return serve_or_check(command, arguments);
  std::cerr << "gorsebeam: unknown command '" << command
            << (positional.empty() ? "" : " " + positional[0])
            << "'; the commands are serve, check, config and version\n";
  return kExitTrouble;
}

}  // namespace

int run(int argc, char** argv) {
  // cxxopts throws on invalid arguments, and the gateway's constructor if it cannot be set up.
  try {
    cxxopts::Options options = make_options();
    return run_command(options, options.parse(argc, argv));
  } catch (const std::exception& error) {
    std::cerr << "gorsebeam: " << error.what() << '\n';
    return kExitFailure;
  }
}

}  // namespace gorsebeam::command_line
