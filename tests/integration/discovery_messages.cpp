#include "discovery_messages.h"

#include <sstream>

namespace test_harness {
namespace {

const char* phase_name(ListedStatus status) {
  switch (status) {
  case ListedStatus::Draining:
    return "draining";
  case ListedStatus::Removed:
    return "gone";
  case ListedStatus::Up:
    break;
  }
  return "ready";
}

std::string encode_endpoint(const ListedEndpoint& endpoint) {
  return R"({"id":"s-0000000)" + std::to_string(endpoint.number) + R"(","host_port":")" +
         endpoint.address + R"(","locality":"a","cell":0,"phase":")" + phase_name(endpoint.status) +
         R"(","size":1.0,"up_since_ms":)" + std::to_string(endpoint.started_at_ms) +
         R"(,"part":")" + (endpoint.is_primary ? "master" : "replica") + "\"}";
}

}  // namespace

std::string encode_endpoint_list(int revision, const std::vector<ListedEndpoint>& endpoints) {
  std::string text =
      "{\"revision\":" + std::to_string(revision) + R"(,"complete":true,"members":[)";
  const char* separator = "";
  for (const ListedEndpoint& endpoint : endpoints) {
    text += separator + encode_endpoint(endpoint);
    separator = ",";
  }
  return text + "]}\n";
}

std::string encode_chunk(const std::string& content) {
  std::ostringstream chunk;
  chunk << std::hex << content.size() << "\r\n" << content << "\r\n";
  return chunk.str();
}

}  // namespace test_harness
