// Discovery's lists in JSON, as the watch and the configuration's `known` hold them.
#pragma once

#include "proxy/request_broker.h"
#include "settings/json_object_reader.h"

#include <vector>

namespace gorsebeam::discovery {

struct EndpointListDocument {
  std::int64_t revision = 0;
  bool complete = false;
  std::vector<proxy::ListedEndpoint> members;
};

EndpointListDocument read_list(const settings::Json& value,
                               const std::string& where);  // throws settings::FormatError

}  // namespace gorsebeam::discovery
