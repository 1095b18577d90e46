#include "test_client.h"

#include "event_wait.h"
#include "test_harness.h"

namespace test_harness {

TestClient::TestClient(GatewayHarness& harness, const std::string& address)
    : harness_(harness), stream_(gorsebeam::net::Stream::connect(address, *this)) {}

void TestClient::received() {
  unparsed_input.append(stream_->input().view());
  stream_->input().consume(stream_->input().size());
  while (const auto response = harness_.protocol.decode_response(unparsed_input)) {
    responses.push_back(response->result);
    last_value = response->value.value_or(last_value);
    ++harness_.response_count;
  }
}

void TestClient::ended(const std::string& reason) {
  closed_by_gateway = true;
  close_reason = reason;
}

void TestClient::send_request(const Request& request) {
  ++harness_.sent_requests[request.id];
  write(harness_.protocol.encode_request(request));
}

ClientResult TestClient::await_response() {
  wait_until(
      [this] {
        return !responses.empty();
      },
      "a response to a client");
  const ClientResult result = responses.front();
  responses.pop_front();
  return result;
}

void TestClient::await_close(const std::string& awaited) {
  wait_until(
      [this] {
        return closed_by_gateway;
      },
      awaited);
}

void TestClient::await_flushed() {
  wait_until(
      [this] {
        return is_flushed();
      },
      "the kernel to accept the client's bytes");
}

ClientResult TestClient::send_and_await(const Request& request) {
  send_request(request);
  return await_response();
}

}  // namespace test_harness
