/// Documents with which the gateway itself replies to commands. Pure.
#pragma once

#include "error_code.h"

#include "gorsebeam/router.h"

#include <string>

namespace gorsebeam::mongo {

/// Success, without further fields.
std::string encode_ok_reply();

std::string encode_build_info_reply();

std::string encode_error_reply(const CommandError& error);

/// The request did not run and may be sent again, after `retry_after` if that is above 0.
std::string encode_rejection_reply(Duration retry_after);

}  // namespace gorsebeam::mongo
