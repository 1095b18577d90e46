/// The actions that the version tracker requests from its caller, the control plane client.
#pragma once

#include "configuration.h"

#include <array>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gorsebeam::config_versions {

/// Connect to the control service and open the stream; then call `on_stream_opened` or
/// `on_stream_lost`.
struct OpenStream {
  std::string address;
};

/// Close the connection; it must not cause any further event.
struct CloseStream {};

/// Send an HTTP/2 PING; report its acknowledgement by `on_bytes_received`.
struct SendPing {};

/// Apply the content.
struct ApplyConfiguration {
  Bodies bodies;
  /// For each type, whether its content differs from that in the previous ApplyConfiguration
  /// action. In the first action, all types are marked.
  std::array<bool, kResourceTypeCount> changed{};
};

/// Write the accepted versions, which have changed, to disk.
struct WriteSnapshot {};

/// Identifies the response that a log event reports.
struct ResponseIdentity {
  std::optional<ResourceType> type;
  std::string version;
  std::string nonce;
};

/// Log that the stream was lost; the tracker will connect again.
struct StreamLost {
  std::string error;
};

/// Log that the first response after the loss of a stream was accepted.
struct StreamRestored {};

/// Log that a response has arrived.
struct VersionReceived {
  ResponseIdentity response;
};

/// Log that a response was accepted (ACK).
struct VersionAccepted {
  ResponseIdentity response;
  std::string detail;
};

/// Log that a response was rejected (NACK).
struct VersionRejected {
  ResponseIdentity response;
  std::string error;
};

/// Log that a response waits for a response of another type.
struct VersionPending {
  ResponseIdentity response;
  std::string waiting_for;
};

using Action = std::variant<OpenStream, CloseStream, SendPing, DiscoveryRequest, ApplyConfiguration,
                            WriteSnapshot, StreamLost, StreamRestored, VersionReceived,
                            VersionAccepted, VersionRejected, VersionPending>;
using Actions = std::vector<Action>;

}  // namespace gorsebeam::config_versions
