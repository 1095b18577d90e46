#include "http_response_parser.h"

#include <glib.h>

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

namespace gorsebeam::discovery {
namespace {

using Output = HttpResponseParser::Output;
using Status = HttpResponseParser::Status;

constexpr std::size_t kMaxChunkSizeLineLength = 64;
constexpr std::size_t kMaxLoggedStatusLineLength = 80;
constexpr int kChunkSizeBase = 16;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kHttpVersion = "HTTP/1.1 ";
constexpr std::string_view kOkStatus = "200";

bool has_ok_status(std::string_view head) {
  return head.substr(0, kHttpVersion.size()) == kHttpVersion &&
         head.substr(kHttpVersion.size(), kOkStatus.size()) == kOkStatus;
}

bool is_chunked(std::string_view head) {
  std::string lower(head);
  for (char& c : lower)
    c = g_ascii_tolower(c);
  return lower.find("transfer-encoding: chunked") != std::string::npos;
}

Output failed(HttpResponseError::Kind kind, std::string status_line = "") {
  return {Status::Failed, 0, {}, HttpResponseError{kind, std::move(status_line)}};
}

}  // namespace

std::string to_string(const HttpResponseError& error) {
  switch (error.kind) {
  case HttpResponseError::Kind::HeadTooLong:
    return "the response head is longer than " + std::to_string(HttpResponseParser::kMaxHeadSize) +
           " bytes";
  case HttpResponseError::Kind::UnexpectedStatus:
    return "answered " + error.status_line;
  case HttpResponseError::Kind::MalformedChunk:
    return "a malformed chunk";
  }
  return "unknown";
}

Output HttpResponseParser::parse(std::string_view input) {
  switch (state_) {
  case State::Head:
    return parse_head(input);
  case State::PlainBody:
    return {input.empty() ? Status::NeedsInput : Status::Progress, input.size(), input, {}};
  case State::ChunkedBody:
    return parse_chunk(input);
  }
  return {};
}

Output HttpResponseParser::parse_head(std::string_view input) {
  const std::size_t end = input.find(kHeadEnd);
  if (end == std::string_view::npos) {
    if (input.size() > kMaxHeadSize)
      return failed(HttpResponseError::Kind::HeadTooLong);
    return {};
  }
  if (!has_ok_status(input)) {
    const std::size_t length = std::min(input.find('\r'), kMaxLoggedStatusLineLength);
    return failed(HttpResponseError::Kind::UnexpectedStatus, std::string(input.substr(0, length)));
  }
  state_ = is_chunked(input.substr(0, end)) ? State::ChunkedBody : State::PlainBody;
  return {Status::Progress, end + kHeadEnd.size(), {}, {}};
}

Output HttpResponseParser::parse_chunk(std::string_view input) const {
  const std::size_t line = input.find(kLineEnd);
  if (line == std::string_view::npos) {
    if (input.size() > kMaxChunkSizeLineLength)
      return failed(HttpResponseError::Kind::MalformedChunk);
    return {};
  }
  std::size_t size = 0;
  const auto [end, error] =
      std::from_chars(input.data(), input.data() + line, size, kChunkSizeBase);
  const bool is_number = error == std::errc() && end != input.data();
  if (!is_number || size > max_chunk_size_)
    return failed(HttpResponseError::Kind::MalformedChunk);
  const std::size_t begin = line + kLineEnd.size();
  const std::size_t chunk_size = begin + size + kLineEnd.size();
  if (input.size() < chunk_size)
    return {};
  const Status status = size == 0 ? Status::Ended : Status::Progress;
  return {status, chunk_size, input.substr(begin, size), {}};
}

}  // namespace gorsebeam::discovery
