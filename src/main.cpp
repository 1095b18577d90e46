// The command line of the gateway.
#include "gateway/gateway.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

namespace {

int serve(gorsebeam::gateway::Plan plan) {
  gorsebeam::gateway::Gateway gateway(std::move(plan));
  std::string why;
  if (gateway.start(why)) return gateway.run();
  std::cerr << "gorsebeam: " << why << '\n';
  return 1;
}

} // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("gorsebeam",
                           "A broker of reads and writes for groups of a primary and its replicas");
  options.add_options()("command", "serve, check (the files, and nothing else) or version",
                        cxxopts::value<std::string>()->default_value(""))(
      "config", "the gateway's configuration; else what RELAY_CONFIG names",
      cxxopts::value<std::string>())("broker", "contracts, budgets and the second front; none: neither",
                                     cxxopts::value<std::string>())("h,help", "this text");
  options.parse_positional({"command"});
  options.positional_help("serve|check|version");
  try {
    const auto given = options.parse(argc, argv);
    const std::string command = given["command"].as<std::string>();
    if (given.count("help")) {
      std::cout << options.help();
      return 0;
    }
    if (command == "version") {
      std::cout << "gorsebeam " << GORSEBEAM_VERSION << '\n';
      return 0;
    }
    if (command != "serve" && command != "check") {
      std::cerr << "gorsebeam: no command '" << command << "'; there are serve, check and version\n";
      return 2;
    }
    const char* environment = std::getenv("RELAY_CONFIG");
    const std::string config = given.count("config") ? given["config"].as<std::string>()
                               : environment         ? environment
                                                     : "";
    if (config.empty()) {
      std::cerr << "gorsebeam: no configuration: give --config FILE or set RELAY_CONFIG\n";
      return 2;
    }
    auto plan =
        gorsebeam::gateway::read_plan(config, given.count("broker") ? given["broker"].as<std::string>() : "");
    if (command == "serve") return serve(std::move(plan));
    std::cout << "gorsebeam: the files are fine\n";
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "gorsebeam: " << error.what() << '\n';
    return 1;
  }
}
