/// Translates the simulator's messages to the router's events.
#pragma once

#include "settings/deployment_profile.h"

#include "gorsebeam/router.h"

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace gorsebeam::simulator_adapter {

/// The simulator's input is malformed. It ends the program, so it is thrown.
using ProtocolError = settings::FormatError;

/// The endpoint lists that the simulator sent, each in the numbered buffer that it names.
using EndpointBuffers = std::array<std::vector<Endpoint>, 16>;

/// The index that `body` names. Throws ProtocolError where it is out of range.
[[nodiscard]] std::size_t read_buffer_index(const settings::JsonObjectReader& body);

/// The endpoints of a SHEET message. Throws ProtocolError.
[[nodiscard]] std::vector<Endpoint> read_endpoints(const settings::JsonObjectReader& body);

/// The event of the message `name` with the fields of `body`. Throws ProtocolError, also where
/// there is no such event.
[[nodiscard]] Event read_event(const std::string& name, const settings::JsonObjectReader& body,
                               const settings::DeploymentProfile& profile,
                               const EndpointBuffers& buffers);

}  // namespace gorsebeam::simulator_adapter
