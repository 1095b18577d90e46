// Discovery's lists in JSON, as the watch and the configuration's `known` hold them.
#pragma once

#include "broker/core.h"
#include "settings/json.h"

#include <vector>

namespace gorsebeam::discovery {

struct List {
  std::int64_t revision = 0;
  bool complete = false;
  std::vector<broker::Listed> members;
};

List read_list(const settings::Json& value,
               const std::string& where);  // throws settings::FormatError

}  // namespace gorsebeam::discovery
