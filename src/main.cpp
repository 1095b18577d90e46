// The command line of the gateway.
#include "config/operator_file.h"
#include "gateway/gateway.h"
#include "snapshot_store/snapshot_store.h"

#include <cxxopts.hpp>
#include <google/protobuf/text_format.h>

#include <cstdlib>
#include <ctime>
#include <exception>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace {

int serve(gorsebeam::gateway::Plan plan) {
  gorsebeam::gateway::Gateway gateway(std::move(plan));
  std::string why;
  if (gateway.start(why))
    return gateway.run();
  std::cerr << "gorsebeam: " << why << '\n';
  return 1;
}

// ---- `gorsebeam config ...`: files and state, and nothing that runs. Status 0: fine, or the same;
// 1: different, or wrong; 2: cannot be read.

int show(const std::string& folder) {
  namespace snapshot_store = gorsebeam::snapshot_store;
  std::string why;
  const auto good = snapshot_store::load(folder, why);
  if (!good) {
    std::cerr << "gorsebeam: " << (why.empty() ? folder + ": holds no last good version" : why)
              << '\n';
    return 2;
  }
  const auto part = [](const char* name, const gorsebeam::state::v1::Part& p,
                       const google::protobuf::Message& value) {
    if (!p.held())
      return;
    const std::time_t at = static_cast<std::time_t>(p.accepted_unix_ms() / 1000);
    char when[32];
    std::strftime(when, sizeof when, "%Y-%m-%dT%H:%M:%SZ", std::gmtime(&at));
    std::string text;
    google::protobuf::TextFormat::PrintToString(value, &text);
    std::cout << "# " << name << ": version " << p.version() << ", generation " << p.generation()
              << " (newest " << p.newest() << "), from " << p.source() << ", accepted " << when
              << '\n'
              << name << " {\n";
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
      std::cout << "  " << line << '\n';
    std::cout << "}\n";
  };
  part("contracts", good->contracts(), good->contracts_value());
  part("members", good->members(), good->members_value());
  part("limits", good->limits(), good->limits_value());
  return 0;
}

int config_command(const std::vector<std::string>& words, const cxxopts::ParseResult& given) {
  namespace config = gorsebeam::config;
  const std::string what = words.empty() ? "" : words[0];
  const std::size_t files = words.empty() ? 0 : words.size() - 1;
  if (what == "show" && given.count("state") && files == 0)
    return show(given["state"].as<std::string>());
  try {
    // With the platform's configuration at hand the classes are checked too.
    std::optional<std::map<std::string, std::size_t>> classes;
    if (given.count("config"))
      classes = config::read_config(given["config"].as<std::string>()).profile.classes;
    const auto read = [&](const std::string& path) {
      return config::read_file(path, classes ? &*classes : nullptr);
    };
    if (what == "check" && files == 1) {
      read(words[1]);
      std::cout << "gorsebeam: " << words[1] << " is fine\n";
      return 0;
    }
    if (what == "fmt" && files == 1) {
      std::cout << config::formatted(words[1]);
      return 0;
    }
    if (what == "diff" && files == 2) {
      const auto lines = config::differences(read(words[1]), read(words[2]));
      for (const std::string& line : lines)
        std::cout << line << '\n';
      return lines.empty() ? 0 : 1;
    }
  } catch (const std::exception& error) {
    std::cerr << "gorsebeam: " << error.what() << '\n';
    return what == "diff" ? 2 : 1;
  }
  std::cerr << "gorsebeam: usage: config check FILE | fmt FILE | diff OLD NEW | show --state DIR\n";
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("gorsebeam",
                           "A broker of reads and writes for groups of a primary and its replicas");
  options.add_options()("command", "serve, check (the files, and nothing else), config or version",
                        cxxopts::value<std::string>()->default_value(""))(
      "words", "what config does: check FILE, fmt FILE, diff OLD NEW, or show with --state",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "config", "the platform's configuration; else what RELAY_CONFIG names",
      cxxopts::value<std::string>())("file",
                                     "the operators' file: contracts, budgets, the second front, a "
                                     "control service; none: none of them",
                                     cxxopts::value<std::string>())(
      "state", "a state folder, for config show", cxxopts::value<std::string>())("h,help",
                                                                                 "this text");
  options.parse_positional({"command", "words"});
  options.positional_help("serve|check|config ...|version");
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
    std::vector<std::string> words;
    if (given.count("words"))
      words = given["words"].as<std::vector<std::string>>();
    if (command == "config")
      return config_command(words, given);
    if ((command != "serve" && command != "check") || !words.empty()) {
      std::cerr << "gorsebeam: no command '" << command << (words.empty() ? "" : " " + words[0])
                << "'; there are serve, check, config and version\n";
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
    auto plan = gorsebeam::gateway::read_plan(
        config, given.count("file") ? given["file"].as<std::string>() : "");
    if (command == "serve")
      return serve(std::move(plan));
    std::cout << "gorsebeam: the files are fine\n";
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "gorsebeam: " << error.what() << '\n';
    return 1;
  }
}
