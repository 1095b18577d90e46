/// A client of the gateway.
#pragma once

#include "protocol.h"

#include "net/stream.h"

#include <deque>
#include <memory>
#include <string>

namespace test_harness {

class GatewayHarness;

/// One client connection. The harness that it refers to must outlive it.
class TestClient : gorsebeam::net::Stream::Events {
public:
  TestClient(GatewayHarness& harness, const std::string& address);
  TestClient(const TestClient&) = delete;
  TestClient& operator=(const TestClient&) = delete;

  void write(const std::string& bytes) { stream_->write({bytes}); }

  void send_request(const Request& request);
  /// Waits for the next response and removes it from `responses`.
  ClientResult await_response();
  ClientResult send_and_await(const Request& request);

  /// Waits until the gateway has closed the connection; `awaited` names the close in the message
  /// of a wait that fails.
  void await_close(const std::string& awaited);
  /// Waits until the kernel has accepted all written bytes.
  void await_flushed();

  void close() { stream_->close(); }

  [[nodiscard]] bool is_flushed() const { return stream_->all_written(); }

  /// While paused the client reads nothing, not even the end of the connection.
  void pause_reading() { stream_->pause_reading(); }

  void resume_reading() { stream_->resume_reading(); }

  /// Shuts down the sending side only.
  void shut_down_writing() { stream_->shut_down_sending(); }

  std::string last_value;      ///< The value of the last response that had one.
  std::string unparsed_input;  ///< Bytes received that form no complete response yet.
  bool closed_by_gateway = false;
  std::string close_reason;  ///< As the stream reports it; empty while the connection is open.
  std::deque<ClientResult> responses;

private:
  void received() override;
  void ended(const std::string& reason) override;

  GatewayHarness& harness_;
  std::shared_ptr<gorsebeam::net::Stream> stream_;
};

}  // namespace test_harness
