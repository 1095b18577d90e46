#include "discovery/http_response_parser.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace gorsebeam::discovery {
namespace {

using Status = HttpResponseParser::Status;

constexpr std::size_t kMaxChunkSize = 32;

struct Result {
  Status status = Status::NeedsInput;
  std::string body;
  std::string error;
};

/// Parses `text` as it arrives in reads of `read_size` bytes, up to its end or the end of the
/// response.
Result parse(const std::string& text, std::size_t read_size) {
  HttpResponseParser parser(kMaxChunkSize);
  Result result;
  std::string input;
  for (std::size_t at = 0; at < text.size(); at += read_size) {
    input += text.substr(at, read_size);
    do {
      const HttpResponseParser::Output output = parser.parse(input);
      result.status = output.status;
      result.body += output.body;
      if (output.error)
        result.error = to_string(*output.error);
      input.erase(0, output.consumed_bytes);
    } while (result.status == Status::Progress);
    if (result.status != Status::NeedsInput)
      break;
  }
  return result;
}

TEST(HttpResponseParser, ParsesBodiesWhereverReadsEnd) {
  const std::string head = "HTTP/1.1 200 OK\r\nServer: x\r\n";
  const std::string chunked =
      head + "Transfer-Encoding: Chunked\r\n\r\n5\r\nhello\r\nA\r\n0123456789\r\n";
  const std::string plain = head + "\r\nhello";
  for (std::size_t read_size = 1; read_size <= chunked.size() + 5; ++read_size) {
    const Result ended = parse(chunked + "0\r\n\r\n", read_size);
    EXPECT_EQ(ended.body, "hello0123456789") << read_size;
    EXPECT_EQ(ended.status, Status::Ended) << read_size;
    EXPECT_EQ(parse(chunked, read_size).status, Status::NeedsInput) << read_size;
    EXPECT_EQ(parse(plain, read_size).body, "hello") << read_size;
  }
}

TEST(HttpResponseParser, RejectsUnsupportedAndMalformedResponses) {
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  struct Case {
    std::string text;
    std::string error;
  };

  const std::vector<Case> cases = {{"HTTP/1.1 503 Busy\r\n\r\n", "answered HTTP/1.1 503 Busy"},
                                   {"HTTP/1.0 200 OK\r\n\r\n", "answered HTTP/1.0 200 OK"},
                                   {std::string(HttpResponseParser::kMaxHeadSize + 1, 'x'),
                                    "the response head is longer than 16384 bytes"},
                                   {chunked + "nonsense\r\n", "a malformed chunk"},
                                   {chunked + "21\r\n", "a malformed chunk"},
                                   {chunked + std::string(65, '0'), "a malformed chunk"}};
  for (const Case& test : cases) {
    const Result result = parse(test.text, test.text.size());
    EXPECT_EQ(result.status, Status::Failed) << test.error;
    EXPECT_EQ(result.error, test.error);
  }
}

}  // namespace
}  // namespace gorsebeam::discovery
