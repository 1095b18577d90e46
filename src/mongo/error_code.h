/// Defines the error codes of MongoDB replies that the gateway sends or interprets.
/// Source: MongoDB's public list of error codes.
#pragma once

#include <cstdint>
#include <string>

namespace gorsebeam::mongo {

/// The number of an error. A received number can be one that is not listed here.
enum class ErrorCode : std::int32_t {
  FailedToParse = 9,
  Unauthorized = 13,
  InvalidBson = 22,
  CommandNotFound = 59,
  NetworkTimeout = 89,
  CommandNotSupported = 115,
  SnapshotUnavailable = 246,
  UnsupportedOpQueryCommand = 352,
  IngressRequestRateLimitExceeded = 462,
  NotWritablePrimary = 10107,
  NotPrimaryNoSecondaryOk = 13435,
  NotPrimaryOrSecondary = 13436,
};

/// Returns the text of the field codeName in an error reply.
const char* name_of(ErrorCode code);

/// The error with which a command is rejected. The connection stays open.
struct CommandError {
  ErrorCode code;
  std::string text;
};

}  // namespace gorsebeam::mongo
