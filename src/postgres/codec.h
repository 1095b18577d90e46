/// Messages of PostgreSQL's protocol, read in place. Pure.
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

/// A message with a type byte. The views borrow from the bytes that were read.
struct Message {
  char type = 0;
  std::string_view body;     ///< Without the type and the length field.
  std::string_view encoded;  ///< The whole message, as it was received.
};

/// Reads the first message of `in`; its length field may be at most `max_length`.
wire::FramingResult<Message> read_message(std::string_view in, std::size_t max_length);

/// The first message of a connection, which has no type byte.
struct StartupMessage {
  std::uint32_t code = 0;       ///< The protocol number, or a request code.
  std::string_view parameters;  ///< What follows the code; borrows from the bytes that were read.
  std::size_t size = 0;         ///< Of the whole message.
};

wire::FramingResult<StartupMessage> read_startup(std::string_view in, std::size_t max_length);

/// The value of the parameter `name` of a startup message; nothing if it is absent.
std::optional<std::string_view> startup_parameter(std::string_view parameters,
                                                  std::string_view name);

std::string encode_message(char type, std::string_view body);

enum class Severity {
  Error,  ///< The connection continues.
  Fatal,  ///< The connection is closed after it.
};

/// An error, as clients get it in an ErrorResponse.
struct SqlError {
  const char* sqlstate;
  std::string text;
};

/// An ErrorResponse; `detail` is omitted if it is empty.
std::string encode_error(Severity severity, const SqlError& error, const std::string& detail = "");

/// The field of type `field` in the body of an ErrorResponse; nothing if it is absent.
std::optional<std::string_view> error_field(std::string_view body, char field);

struct ParameterStatus {
  std::string_view name;
  std::string_view value;
};

/// Reads the body of a ParameterStatus; nothing if it is malformed.
std::optional<ParameterStatus> read_parameter_status(std::string_view body);

}  // namespace gorsebeam::postgres
