/// Messages of PostgreSQL's protocol, read in place. Pure; no sockets here.
/// Source: PostgreSQL 15 documentation, chapter "Frontend/Backend Protocol" (version 3.0), sections
/// "Message Formats" and "Error and Notice Message Fields".
#pragma once

#include "wire/framing.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::postgres {

/// The protocol number or request code of a startup message.
constexpr std::uint32_t kProtocolVersion3 = 196608;
constexpr std::uint32_t kCancelRequest = 80877102;
constexpr std::uint32_t kSslRequest = 80877103;
constexpr std::uint32_t kGssEncryptionRequest = 80877104;

/// SQLSTATE codes that the gateway sends or interprets.
constexpr const char* kFeatureNotSupported = "0A000";
constexpr const char* kTransactionResolutionUnknown = "08007";
constexpr const char* kProtocolViolation = "08P01";
constexpr const char* kReadOnlyTransaction = "25006";
constexpr const char* kInvalidAuthorization = "28000";
constexpr const char* kInsufficientPrivilege = "42501";
constexpr const char* kSyntaxError = "42601";
constexpr const char* kDuplicateObject = "42710";
constexpr const char* kTooManyConnections = "53300";
constexpr const char* kQueryCanceled = "57014";
constexpr const char* kCannotConnectNow = "57P03";
constexpr const char* kSnapshotTooOld = "72000";
constexpr const char* kInternalError = "XX000";

/// A message with a type; the views lead into the bytes that it was read from.
struct Message {
  char type = 0;
  std::string_view body;      ///< Without type and length.
  std::string_view complete;  ///< As received.
};

/// Reads the first message of `in`; its length field may be at most `max_length`.
wire::Framing read_message(std::string_view in, std::size_t max_length, Message& message);

/// The first message of a connection, which has no type.
struct StartupMessage {
  std::string_view body;  ///< Without the length; begins with the protocol number.
  std::size_t size = 0;   ///< With the length.
};

wire::Framing read_startup(std::string_view in, std::size_t max_length, StartupMessage& startup);
std::optional<std::string_view> startup_parameter(std::string_view body, std::string_view name);

std::string encode_message(char type, std::string_view body);

/// An ErrorResponse; `detail` is left out where it is empty.
std::string encode_error(const char* severity, const char* code, const std::string& text,
                         const std::string& detail = "");

/// A field of the body of an ErrorResponse.
std::optional<std::string_view> error_field(std::string_view body, char field);

struct ParameterStatus {
  std::string_view name;
  std::string_view value;
};

/// Reads the body of a ParameterStatus; nothing where it is malformed.
std::optional<ParameterStatus> read_parameter_status(std::string_view body);

}  // namespace gorsebeam::postgres
