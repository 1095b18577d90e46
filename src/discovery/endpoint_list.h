/// Discovery's endpoint lists in JSON, as the watch receives them and the configuration's `known`
/// holds them.
#pragma once

#include "common/result.h"
#include "proxy/request_broker.h"
#include "settings/json_object_reader.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gorsebeam::discovery {

/// One list as discovery writes it.
struct EndpointListDocument {
  std::int64_t revision = 0;  ///< Counted by discovery; a later list has a higher one.
  bool complete = false;      ///< Names all endpoints; otherwise only those that changed.
  std::vector<proxy::ListedEndpoint> endpoints;
};

/// Translates discovery's field names and words. `where` names the value in error texts. Throws
/// settings::FormatError that says what is missing or wrong; for files, whose readers throw alike.
[[nodiscard]] EndpointListDocument parse_endpoint_list(const settings::Json& value,
                                                       const std::string& where);

/// Why the text of a list was rejected, for the operators' log.
struct EndpointListError {
  std::string message;
};

/// The same of a list's text, for a running gateway. Throws nothing.
[[nodiscard]] common::Result<EndpointListDocument, EndpointListError>
parse_endpoint_list_text(std::string_view text);

}  // namespace gorsebeam::discovery
