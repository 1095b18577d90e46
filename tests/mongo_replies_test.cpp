// Tests the exact bytes of the documents with which the gateway itself replies to MongoDB clients.
#include "mongo/bson.h"
#include "mongo/hello.h"
#include "mongo/replies.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace gorsebeam::mongo {
namespace {

using namespace std::string_literals;

TEST(MongoHello, EncodesReplyOfARouter) {
  EXPECT_EQ(encode_hello_reply(4096, TimePoint(258ms)),
            "\x0d\1\0\0"
            "\x08helloOk\0\1"
            "\x08ismaster\0\1"
            "\x08isWritablePrimary\0\1"
            "\x02msg\0\x09\0\0\0isdbgrid\0"
            "\x10maxBsonObjectSize\0\0\x10\0\0"
            "\x10maxMessageSizeBytes\0\0\x10\0\0"
            "\x10maxWriteBatchSize\0\xe8\3\0\0"
            "\x09localTime\0\2\1\0\0\0\0\0\0"
            "\x10logicalSessionTimeoutMinutes\0\x1e\0\0\0"
            "\x10"
            "connectionId\0\1\0\0\0"
            "\x10minWireVersion\0\0\0\0\0"
            "\x10maxWireVersion\0\x11\0\0\0"
            "\x08readOnly\0\0"
            "\1ok\0\0\0\0\0\0\0\xf0\x3f\0"s);
}

TEST(MongoHello, ReadsApplicationName) {
  const auto hello = [](const Writer& application) {
    const std::string client =
        Writer().append_document("application", application.finish()).finish();
    return Writer().append_int32("hello", 1).append_document("client", client).finish();
  };
  EXPECT_EQ(application_name(hello(Writer().append_string("name", "portal"))), "portal");
  EXPECT_EQ(application_name(hello(Writer().append_int32("name", 42))), "42");
  EXPECT_EQ(application_name(hello(Writer().append_bool("name", true))), "");
  EXPECT_EQ(application_name(hello(Writer())), std::nullopt);
  EXPECT_EQ(application_name(Writer().append_string("client", "portal").finish()), std::nullopt);
  EXPECT_EQ(application_name(Writer().finish()), std::nullopt);
}

TEST(MongoReplies, EncodeExactBytes) {
  const std::string ok = "\1ok\0\0\0\0\0\0\0\xf0\x3f"s;
  const std::string not_ok = "\1ok\0\0\0\0\0\0\0\0\0"s;
  const std::string rejection = not_ok + "\2errmsg\0\x13\0\0\0refused: try again\0"s +
                                "\x10"
                                "code\0\xce\1\0\0"s +
                                "\2codeName\0\x20\0\0\0IngressRequestRateLimitExceeded\0"s +
                                "\4errorLabels\0\x3d\0\0\0"s +
                                "\2"
                                "0\0\x14\0\0\0RetryableWriteError\0"s +
                                "\2"
                                "1\0\x16\0\0\0SystemOverloadedError\0\0"s;
  EXPECT_EQ(encode_ok_reply(), "\x11\0\0\0"s + ok + '\0');
  EXPECT_EQ(encode_build_info_reply(), "\x24\0\0\0\2version\0\6\0\0\0"
                                       "6.0.0\0"s +
                                           ok + '\0');
  EXPECT_EQ(encode_error_reply({ErrorCode::FailedToParse, "bad"}),
            "\x47\0\0\0"s + not_ok +
                "\2errmsg\0\4\0\0\0bad\0\x10"
                "code\0\x09\0\0\0"s +
                "\2codeName\0\x0e\0\0\0FailedToParse\0\0"s);
  EXPECT_EQ(encode_rejection_reply(0ms), "\xb2\0\0\0"s + rejection + '\0');
  EXPECT_EQ(encode_rejection_reply(7900us),
            "\xc8\0\0\0"s + rejection + "\x12retryAfterMS\0\7\0\0\0\0\0\0\0\0"s);
}

TEST(MongoErrorCode, HasTheServersName) {
  struct Case {
    std::int32_t code;
    const char* name;
  };

  const std::vector<Case> cases = {
      {9, "FailedToParse"},
      {13, "Unauthorized"},
      {22, "InvalidBSON"},
      {59, "CommandNotFound"},
      {89, "NetworkTimeout"},
      {115, "CommandNotSupported"},
      {352, "UnsupportedOpQueryCommand"},
      {462, "IngressRequestRateLimitExceeded"},
  };

  for (const auto& each : cases)
    EXPECT_STREQ(name_of(static_cast<ErrorCode>(each.code)), each.name);
}

}  // namespace
}  // namespace gorsebeam::mongo
