/// Converts the simulator's messages to the router's events.
#pragma once

#include "settings/deployment_profile.h"

#include "gorsebeam/router.h"

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace gorsebeam::simulator_adapter {

/// Malformed input from the simulator. It is an exception because the program ends on it.
using ProtocolError = settings::FormatError;

/// The endpoint lists that the simulator sent. Each SHEET message names the buffer for its list,
/// and later VIEW messages refer to the list by the buffer's number.
using EndpointBuffers = std::array<std::vector<Endpoint>, 16>;

/// Reads the buffer's index from `body`. Throws ProtocolError if it is absent or out of range.
[[nodiscard]] std::size_t read_buffer_index(const settings::JsonObjectReader& body);

/// Reads the endpoints of a SHEET message. Throws ProtocolError for the first invalid field.
[[nodiscard]] std::vector<Endpoint> read_endpoints(const settings::JsonObjectReader& body);

/// Reads the event of the message `name` with the fields of `body`, which arrives at `now`. Throws
/// ProtocolError if a field is invalid or there is no such event.
[[nodiscard]] Event read_event(TimePoint now, const std::string& name,
                               const settings::JsonObjectReader& body,
                               const settings::DeploymentProfile& profile,
                               const EndpointBuffers& buffers);

}  // namespace gorsebeam::simulator_adapter
