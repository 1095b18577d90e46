/// What the version tracker asks its embedder to do.
#pragma once

#include "configuration.h"

#include <array>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gorsebeam::config_versions {

/// Connect to the control service and open the stream; `on_stream_opened` or `on_stream_lost`
/// follows.
struct OpenStream {
  std::string address;
};

/// Close the connection; it must cause no further event.
struct CloseStream {};

/// Send an HTTP/2 PING; its acknowledgement is reported by `on_bytes_received`.
struct SendPing {};

/// Put the content in force.
struct ApplyConfiguration {
  Bodies bodies;
  /// Whether the content of each type differs from the previous action of this kind.
  std::array<bool, kResourceTypeCount> changed{};
};

/// Write the accepted versions to disk, as they have changed.
struct WriteSnapshot {};

/// The response that a log event is about.
struct ResponseIdentity {
  std::optional<ResourceType> type;
  std::string version;
  std::string nonce;
};

/// Log: the stream is lost; a reconnection follows.
struct StreamLost {
  std::string error;
};

/// Log: the first response is accepted after the stream was lost.
struct StreamRestored {};

/// Log: a response has arrived.
struct VersionReceived {
  ResponseIdentity response;
};

/// Log: a response is accepted (ACK).
struct VersionAccepted {
  ResponseIdentity response;
  std::string detail;
};

/// Log: a response is rejected (NACK).
struct VersionRejected {
  ResponseIdentity response;
  std::string error;
};

/// Log: a response waits for another type.
struct VersionPending {
  ResponseIdentity response;
  std::string waiting_for;
};

using Action = std::variant<OpenStream, CloseStream, SendPing, DiscoveryRequest, ApplyConfiguration,
                            WriteSnapshot, StreamLost, StreamRestored, VersionReceived,
                            VersionAccepted, VersionRejected, VersionPending>;
using Actions = std::vector<Action>;

}  // namespace gorsebeam::config_versions
