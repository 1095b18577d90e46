#include "error_code.h"

namespace gorsebeam::mongo {

const char* name_of(ErrorCode code) {
  switch (code) {
  case ErrorCode::FailedToParse:
    return "FailedToParse";
  case ErrorCode::Unauthorized:
    return "Unauthorized";
  case ErrorCode::InvalidBson:
    return "InvalidBSON";
  case ErrorCode::CommandNotFound:
    return "CommandNotFound";
  case ErrorCode::NetworkTimeout:
    return "NetworkTimeout";
  case ErrorCode::CommandNotSupported:
    return "CommandNotSupported";
  case ErrorCode::SnapshotUnavailable:
    return "SnapshotUnavailable";
  case ErrorCode::UnsupportedOpQueryCommand:
    return "UnsupportedOpQueryCommand";
  case ErrorCode::IngressRequestRateLimitExceeded:
    return "IngressRequestRateLimitExceeded";
  case ErrorCode::NotWritablePrimary:
    return "NotWritablePrimary";
  case ErrorCode::NotPrimaryNoSecondaryOk:
    return "NotPrimaryNoSecondaryOk";
  case ErrorCode::NotPrimaryOrSecondary:
    return "NotPrimaryOrSecondary";
  }
  return "UnknownError";
}

}  // namespace gorsebeam::mongo
