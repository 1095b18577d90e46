#include "replies.h"

#include "bson.h"

namespace gorsebeam::mongo {
namespace {

Writer error_document(const CommandError& error) {
  Writer reply;
  reply.append_double("ok", 0);
  reply.append_string("errmsg", error.text);
  reply.append_int32("code", static_cast<std::int32_t>(error.code));
  reply.append_string("codeName", name_of(error.code));
  return reply;
}

}  // namespace

std::string encode_ok_reply() {
  return Writer().append_double("ok", 1).finish();
}

std::string encode_build_info_reply() {
  return Writer().append_string("version", "6.0.0").append_double("ok", 1).finish();
}

std::string encode_error_reply(const CommandError& error) {
  return error_document(error).finish();
}

std::string encode_rejection_reply(Duration retry_after) {
  // The first label makes drivers retry a write, which is harmless as the request did not run. The
  // second label makes newer drivers wait before the retry.
  const std::string labels = Writer()
                                 .append_string("0", "RetryableWriteError")
                                 .append_string("1", "SystemOverloadedError")
                                 .finish();
  Writer reply = error_document({ErrorCode::IngressRequestRateLimitExceeded, "refused: try again"});
  reply.append_array("errorLabels", labels);
  if (retry_after > 0ms)
    reply.append_int64("retryAfterMS", retry_after / 1ms);
  return reply.finish();
}

}  // namespace gorsebeam::mongo
