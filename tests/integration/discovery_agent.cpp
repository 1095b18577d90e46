#include "discovery_agent.h"

#include "event_wait.h"
#include "test_harness.h"

#include <sstream>
#include <sys/socket.h>
#include <utility>

namespace test_harness {

using gorsebeam::net::SocketHandle;
using gorsebeam::net::Stream;

namespace {

std::string encode_phase(ListedStatus status) {
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

}  // namespace

DiscoveryAgent::DiscoveryAgent()
    : listener([this](SocketHandle socket) {
        received_request.clear();
        ++connection_count;
        descriptor_ = g_socket_get_fd(socket.get());
        stream = Stream::adopt(std::move(socket), *this);
      }) {
  const auto error = listener.listen("127.0.0.1:0");
  require(!error, error ? "the discovery agent cannot listen: " + error->message : std::string());
}

void DiscoveryAgent::received() {
  received_request.append(stream->input().view());
  stream->input().consume(stream->input().size());
}

void DiscoveryAgent::send_chunk(const std::string& line) {
  std::ostringstream size;
  size << std::hex << line.size() << "\r\n";
  const std::string size_line = size.str();
  stream->write({size_line, line, "\r\n"});
}

std::string DiscoveryAgent::encode_list(const GatewayHarness& harness, int revision) {
  std::string text =
      "{\"revision\":" + std::to_string(revision) + R"(,"complete":true,"members":[)";
  for (const auto& endpoint : harness.endpoints) {
    text += endpoint == harness.endpoints[0] ? "" : ",";
    text += std::string(R"({"id":"s-0000000)") + endpoint->name.back() + R"(","host_port":")" +
            endpoint->address + R"(","locality":"a","cell":0,"phase":")" +
            encode_phase(endpoint->listed_status) + R"(","size":1.0,"up_since_ms":0,"part":")" +
            (endpoint->listed_as_primary ? "master" : "replica") + "\"}";
  }
  return text + "]}\n";
}

void DiscoveryAgent::send_list(const GatewayHarness& harness, int revision) {
  const std::string line = encode_list(harness, revision);
  // A line may arrive in pieces.
  send_chunk(line.substr(0, 40));
  send_chunk(line.substr(40));
}

void DiscoveryAgent::await_reconnection(int earlier_connection_count) const {
  wait_until(
      [&] {
        return connection_count > earlier_connection_count;
      },
      "the watch to be opened again");
}

void DiscoveryAgent::await_watch_request() {
  wait_until(
      [this] {
        return received_request.find("\r\n\r\n") != std::string::npos;
      },
      "the request for a watch");
}

void DiscoveryAgent::accept_watch() {
  await_watch_request();
  stream->write({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"});
}

void DiscoveryAgent::reset_connection() {
  const linger reset_on_close{1, 0};
  const int result =
      setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  require(result == 0, "SO_LINGER cannot be set on the watch");
  stream->close();
}

}  // namespace test_harness
