#include "show_snapshot.h"

#include "exit_status.h"
#include "snapshot_store/snapshot_file.h"

#include <google/protobuf/text_format.h>

#include <array>
#include <ctime>
#include <iostream>
#include <sstream>

namespace gorsebeam::command_line {
namespace {

/// Formats a time in UTC, without fractions of a second, e.g. "2026-01-01T00:00:00Z".
std::string format_time(std::int64_t unix_ms) {
  constexpr std::int64_t kMsPerSecond = 1000;
  const auto seconds = static_cast<std::time_t>(unix_ms / kMsPerSecond);
  std::array<char, 32> text{};
  const std::size_t size =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", std::gmtime(&seconds));
  return {text.data(), size};
}

/// Prints one part of the snapshot, or nothing if the snapshot does not hold that part.
void print_part(const char* name, const state::v1::Part& part,
                const google::protobuf::Message& value) {
  if (!part.held())
    return;
  std::string text;
  google::protobuf::TextFormat::PrintToString(value, &text);
  std::cout << "# " << name << ": version " << part.version() << ", generation "
            << part.generation() << " (newest " << part.newest() << "), from " << part.source()
            << ", accepted " << format_time(part.accepted_unix_ms()) << '\n'
            << name << " {\n";
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);)
    std::cout << "  " << line << '\n';
  std::cout << "}\n";
}

}  // namespace

int show_snapshot(const std::string& state_folder) {
  using snapshot_store::SnapshotError;
  const auto snapshot = snapshot_store::load_snapshot(state_folder);
  if (!snapshot) {
    const SnapshotError& error = snapshot.error();
    const bool is_missing = error.code == SnapshotError::Code::NotFound;
    const std::string message =
        is_missing ? state_folder + ": the state folder holds no last good version" : error.message;
    std::cerr << "gorsebeam: " << message << '\n';
    return kExitTrouble;
  }
  const state::v1::LastGood& good = snapshot.value();
  print_part("contracts", good.contracts(), good.contracts_value());
  print_part("members", good.members(), good.members_value());
  print_part("limits", good.limits(), good.limits_value());
  return kExitSuccess;
}

}  // namespace gorsebeam::command_line
