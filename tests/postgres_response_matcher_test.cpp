// Guards against taking another copy of a connection's previous response for the response to its
// next request.
#include "postgres/codec.h"
#include "postgres/response_matcher.h"

#include "wire/integers.h"
#include "wire/parts.h"

#include <gtest/gtest.h>

#include <string>

namespace gorsebeam::postgres {
namespace {

using connection_pool::InputState;
using connection_pool::ParsedResponse;
using connection_pool::RequestKind;
using Status = ParsedResponse::Status;

std::string row_response(const std::string& value, const std::string& position = "1") {
  const std::string column = std::string("\0\1data\0", 7) + std::string(18, '\0');
  const std::string row = std::string("\0\1", 2) +
                          wire::encode_u32_big_endian(static_cast<std::uint32_t>(value.size())) +
                          value;
  return encode_message('T', column) + encode_message('D', row) +
         encode_message('C', std::string("SELECT 1\0", 9)) +
         encode_message('S', std::string("caught_up_to\0", 13) + position + '\0') +
         encode_message('Z', "I");
}

std::string error_response(const char* sqlstate) {
  return encode_error(Severity::Error, {sqlstate, "text"}) + encode_message('Z', "I");
}

const std::string kEmptyQueryReply = encode_message('I', "") + encode_message('Z', "I");

class ResponseMatcherTest : public testing::Test {
protected:
  ParsedResponse parse(const std::string& in, InputState input = InputState::Open) {
    return matcher_.parse(in, RequestKind::ClientRequest, input);
  }

  ResponseMatcher matcher_;
};

TEST_F(ResponseMatcherTest, CompletesOtherResponsesAtOnce) {
  EXPECT_EQ(parse(row_response("a", "1")).status, Status::Complete);
  EXPECT_EQ(parse(row_response("a", "2")).status, Status::Complete)
      << "the endpoint's position has advanced";
  EXPECT_EQ(parse(row_response("b")).status, Status::Complete);
  EXPECT_EQ(parse(error_response(kInternalError)).status, Status::Complete);
  EXPECT_EQ(parse(row_response("b")).status, Status::Complete);
}

TEST_F(ResponseMatcherTest, ConfirmsAResponseEqualToThePreviousOne) {
  const std::string equal = row_response("a");
  parse(equal);
  EXPECT_EQ(parse(equal).status, Status::Unconfirmed);
  EXPECT_EQ(parse(equal + kEmptyQueryReply.substr(0, 7)).status, Status::Incomplete);
  const std::string confirmed = equal + kEmptyQueryReply;
  const ParsedResponse parsed = parse(confirmed);
  ASSERT_EQ(parsed.status, Status::Complete);
  EXPECT_EQ(parsed.consumed_bytes, confirmed.size());
  EXPECT_EQ(parsed.surplus_responses, 0U);
  EXPECT_EQ(parsed.response.status, AttemptStatus::Ok);
}

TEST_F(ResponseMatcherTest, FindsTheResponseBehindACopy) {
  const std::string copy = row_response("a", "2");
  parse(copy);
  const std::string response = row_response("b", "3");
  EXPECT_EQ(parse(copy).status, Status::Unconfirmed);
  EXPECT_EQ(parse(copy + response.substr(0, 20)).status, Status::Incomplete);
  EXPECT_EQ(parse(copy + response).status, Status::Unconfirmed);
  const std::string all = copy + response + kEmptyQueryReply;
  const ParsedResponse parsed = parse(all);
  ASSERT_EQ(parsed.status, Status::Complete);
  EXPECT_EQ(parsed.surplus_responses, 1U);
  EXPECT_EQ(wire::total_size(parsed.response.body),
            response.find(encode_message('S', std::string("caught_up_to\0", 13) + "3" + '\0')));
  EXPECT_EQ(parsed.response.body[1].back(), 'b') << "the value";
  EXPECT_EQ(parse(response).status, Status::Unconfirmed)
      << "the previous response is the one that was found";
}

// A copy of a rejection must not make a write that runs look as if it never ran.
TEST_F(ResponseMatcherTest, DoesNotTakeACopyOfARejectionForTheResponse) {
  const std::string rejection = error_response(kTooManyConnections);
  EXPECT_EQ(parse(rejection).response.status, AttemptStatus::Rejected);
  EXPECT_EQ(parse(rejection).status, Status::Unconfirmed);
  const ParsedResponse parsed = parse(rejection + row_response("a") + kEmptyQueryReply);
  ASSERT_EQ(parsed.status, Status::Complete);
  EXPECT_EQ(parsed.response.status, AttemptStatus::Ok);
}

TEST_F(ResponseMatcherTest, ConfirmsNothingAfterTheEndOfTheConnection) {
  const std::string equal = row_response("a");
  parse(equal);
  EXPECT_EQ(parse(equal, InputState::Ended).status, Status::Incomplete);
  EXPECT_EQ(parse(equal).status, Status::Unconfirmed);
  EXPECT_EQ(parse(equal, InputState::Ended).status, Status::Incomplete);
}

// Guards against foreign answers and writes that are confirmed and ran nowhere: a second copy of
// the previous response, cut by the end of the connection, was taken for the next request's
// response.
TEST_F(ResponseMatcherTest, TakesNoCutOfACopyForTheResponse) {
  for (const std::string& response :
       {row_response("a"), error_response(kReadOnlyTransaction), error_response(kInternalError)}) {
    ResponseMatcher matcher;
    const auto parse_next = [&matcher](const std::string& in, InputState input) {
      return matcher.parse(in, RequestKind::ClientRequest, input).status;
    };
    ASSERT_EQ(parse_next(response, InputState::Open), Status::Complete);
    for (std::size_t size = 0; size <= response.size(); ++size)
      EXPECT_NE(parse_next(response.substr(0, size), InputState::Ended), Status::Complete) << size;
  }
}

TEST_F(ResponseMatcherTest, CompletesTheFirstResponseAtTheEndOfTheConnection) {
  const std::string response = row_response("a");
  const std::size_t result_size = response.find("caught_up_to") - 5;
  EXPECT_EQ(parse(response.substr(0, result_size), InputState::Ended).status, Status::Complete);
}

TEST_F(ResponseMatcherTest, CompletesAFatalErrorAtTheEndOfTheConnection) {
  const std::string error = encode_error(Severity::Fatal, {kTooManyConnections, "text"});
  parse(error + encode_message('Z', "I"));
  EXPECT_EQ(parse(error, InputState::Ended).status, Status::Complete);
}

// An endpoint that does not accept empty queries must not hold the request up to its deadline.
TEST_F(ResponseMatcherTest, ConfirmsNothingByARejectedEmptyQuery) {
  const std::string equal = row_response("a");
  parse(equal);
  EXPECT_EQ(parse(equal).status, Status::Unconfirmed);
  EXPECT_EQ(parse(equal + error_response(kInternalError)).status, Status::Unconfirmed)
      << "an error of the request, behind a copy";
  EXPECT_EQ(parse(equal + error_response(kProtocolViolation)).status, Status::Malformed);
}

TEST_F(ResponseMatcherTest, RejectsAnEmptyQueryReplyThatWasNotAskedFor) {
  EXPECT_EQ(parse(kEmptyQueryReply).status, Status::Malformed);
}

}  // namespace
}  // namespace gorsebeam::postgres
