/// Reads messages of the PostgreSQL protocol without copying them, and encodes new ones.
/// Does no I/O and reads no clock.
/// Source: PostgreSQL 15 documentation, chapter "Frontend/Backend Protocol" (version 3.0), sections
/// "Message Formats" and "Error and Notice Message Fields"; appendix "PostgreSQL Error Codes".
#pragma once

#include "wire/framing.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::postgres {

/// The values of the first field of a startup message: a protocol number, or the code of a request.
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

/// A message that begins with a type byte. The views point into the bytes that were read.
struct Message {
  char type = 0;
  std::string_view body;     ///< What follows the type byte and the length field.
  std::string_view encoded;  ///< The whole message, as it was received.
};

/// Reads the message at the beginning of `in`. It is malformed if its length field, which does not
/// count the type byte, exceeds `max_length`.
wire::FramingResult<Message> read_message(std::string_view in, std::size_t max_length);

/// The first message of a connection, which has no type byte.
struct StartupMessage {
  std::uint32_t code = 0;       ///< The protocol number, or the code of a request.
  std::string_view parameters;  ///< What follows the code; points into the bytes that were read.
  std::size_t size = 0;         ///< The size of the whole message in bytes.
};

/// Reads the startup message at the beginning of `in`. A message with more than `max_length` bytes
/// is malformed.
wire::FramingResult<StartupMessage> read_startup(std::string_view in, std::size_t max_length);

/// Returns the value of the parameter `name` of a startup message, or nothing if it is absent.
std::optional<std::string_view> startup_parameter(std::string_view parameters,
                                                  std::string_view name);

std::string encode_message(char type, std::string_view body);

enum class Severity {
  Error,  ///< The connection stays open.
  Fatal,  ///< The connection is closed after the error.
};

/// An error that is sent to a client in an ErrorResponse.
struct SqlError {
  const char* sqlstate;
  std::string text;
};

/// Encodes an ErrorResponse. The field for `detail` is omitted if `detail` is empty.
std::string encode_error(Severity severity, const SqlError& error, const std::string& detail = "");

/// Returns the value of the field of type `field` in the body of an ErrorResponse, or nothing if it
/// is absent.
std::optional<std::string_view> error_field(std::string_view body, char field);

struct ParameterStatus {
  std::string_view name;
  std::string_view value;
};

/// Reads the body of a ParameterStatus, or returns nothing if it is malformed.
std::optional<ParameterStatus> read_parameter_status(std::string_view body);

}  // namespace gorsebeam::postgres
