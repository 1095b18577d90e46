/// Encodes what a discovery agent sends over a watch: a chunked HTTP response with one JSON object
/// per line.
#pragma once

#include "listed_status.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace test_harness {

/// One endpoint of group 0 as an agent lists it.
struct ListedEndpoint {
  std::size_t number = 0;  ///< Below 10; the last digit of the endpoint's id.
  std::string address;
  ListedStatus status = ListedStatus::Up;
  bool is_primary = false;
  std::int64_t started_at_ms = 0;  ///< Unix time; 0 stands for long ago.
};

/// The status line and headers of the response to a watch request.
constexpr const char* kWatchResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Returns a complete endpoint list as one line.
[[nodiscard]] std::string encode_endpoint_list(int revision,
                                               const std::vector<ListedEndpoint>& endpoints);

/// Returns `content` as one chunk of a chunked HTTP response.
[[nodiscard]] std::string encode_chunk(const std::string& content);

}  // namespace test_harness
