#include "config_command.h"

#include "config/operator_file.h"
#include "config/operator_file_differences.h"
#include "config/operator_file_formatter.h"
#include "config/platform_config.h"
#include "exit_status.h"
#include "show_snapshot.h"

#include <iostream>

namespace gorsebeam::command_line {
namespace {

using settings::FileError;
using ClassesResult = common::Result<std::optional<config::ClassIndexes>, FileError>;

int print_error(const FileError& error, int exit_status) {
  std::cerr << "gorsebeam: " << error.to_string() << '\n';
  return exit_status;
}

/// The classes that operators' files may name; nothing if no platform configuration is given.
ClassesResult read_classes(const ConfigArguments& arguments) {
  if (!arguments.platform_config)
    return std::optional<config::ClassIndexes>();
  auto platform = config::read_platform_config(*arguments.platform_config);
  if (!platform)
    return platform.error();
  return std::optional(std::move(platform.value().profile.class_indexes));
}

int check_file(const std::string& path, const config::ClassIndexes* classes) {
  const auto file = config::read_operator_file(path, classes);
  if (!file)
    return print_error(file.error(), kExitFailure);
  std::cout << "gorsebeam: " << path << " is valid\n";
  return kExitSuccess;
}

int format_file(const std::string& path) {
  const auto text = config::format_operator_file(path);
  if (!text)
    return print_error(text.error(), kExitFailure);
  std::cout << text.value();
  return kExitSuccess;
}

int compare_files(const std::string& old_path, const std::string& new_path,
                  const config::ClassIndexes* classes) {
  // The new file is read first so that its error is reported if both files are invalid.
  const auto after = config::read_operator_file(new_path, classes);
  if (!after)
    return print_error(after.error(), kExitTrouble);
  const auto before = config::read_operator_file(old_path, classes);
  if (!before)
    return print_error(before.error(), kExitTrouble);
  const auto lines = config::describe_differences(before.value(), after.value());
  for (const std::string& line : lines)
    std::cout << line << '\n';
  return lines.empty() ? kExitSuccess : kExitFailure;
}

}  // namespace

int run_config_command(const ConfigArguments& arguments) {
  const std::vector<std::string>& positional = arguments.positional;
  const std::string subcommand = positional.empty() ? "" : positional[0];
  const std::size_t file_count = positional.empty() ? 0 : positional.size() - 1;
  if (subcommand == "show" && arguments.state_folder && file_count == 0)
    return show_snapshot(*arguments.state_folder);
  const auto read = read_classes(arguments);
  if (!read)
    return print_error(read.error(), subcommand == "diff" ? kExitTrouble : kExitFailure);
  const config::ClassIndexes* classes = read.value() ? &*read.value() : nullptr;
  if (subcommand == "check" && file_count == 1)
    return check_file(positional[1], classes);
  if (subcommand == "fmt" && file_count == 1)
    return format_file(positional[1]);
  if (subcommand == "diff" && file_count == 2)
    return compare_files(positional[1], positional[2], classes);
  std::cerr << "gorsebeam: usage: config check FILE | fmt FILE | diff OLD NEW | show --state DIR\n";
  return kExitTrouble;
}

}  // namespace gorsebeam::command_line
