/// Parses discovery's endpoint lists in JSON. The watch receives such lists, and the platform
/// configuration contains one in its field `known`.
#pragma once

#include "common/result.h"
#include "proxy/listed_endpoint.h"
#include "settings/json_object_reader.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gorsebeam::discovery {

/// An endpoint list as discovery writes it.
struct EndpointListDocument {
  std::int64_t revision = 0;  ///< Assigned by discovery; a later list has a higher one.
  bool complete = false;      ///< Whether all endpoints are listed, or only those that changed.
  std::vector<proxy::ListedEndpoint> endpoints;
};

/// Translates discovery's field names and enum words. `location` names the value in error messages.
/// Throws settings::FormatError, which names the missing or invalid field. The readers of files use
/// this function, as they report all errors by that exception.
[[nodiscard]] EndpointListDocument parse_endpoint_list(const settings::Json& value,
                                                       const std::string& location);

/// Why the text of an endpoint list was rejected, for the operators' log.
struct EndpointListError {
  std::string message;
};

/// Parses the text of a list that a running gateway received. Returns an error where
/// `parse_endpoint_list` throws.
[[nodiscard]] common::Result<EndpointListDocument, EndpointListError>
parse_endpoint_list_text(std::string_view text);

}  // namespace gorsebeam::discovery
