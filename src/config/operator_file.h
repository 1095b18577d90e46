// The operators' file, which `serve --file` names: protobuf text format,
// schema/gorsebeam/config/v1.
#pragma once

#include "settings/settings.h"
#include "validation.h"

#include <string>

namespace gorsebeam::config {

// One checked version of what an operator configures, as the file has it; inventories are read into
// `members`.
struct File {
  pb::Gateway gateway;  // as it was written
  pb::Members members;  // with the inventories' rows
  Site site;
};

// Throws settings::FormatError, one message with file, line, field and the mend. The settings'
// classes are checked against `classes`; where that is null, any class will do (`config check`
// without the platform's settings).
File read_file(const std::string& path, const std::map<std::string, std::size_t>* classes);

// The same text, every field on a line of its own, two blanks a level; comments stay. Throws as
// read_file does.
std::string formatted(const std::string& path);

// What differs in meaning, a line each, by team, member and limit: "team 'portal'
// budget.per_second: 300 -> 200". Order of teams, members, classes and groups means nothing.
std::vector<std::string> differences(const File& before, const File& after);

}  // namespace gorsebeam::config
