#include "contained_callback.h"

#include "log.h"

namespace gorsebeam::net {

void log_callback_failure(const char* source, const std::exception& error) {
  log({"callback_failed", {{"source", source}, {"error", error.what()}}});
}

}  // namespace gorsebeam::net
