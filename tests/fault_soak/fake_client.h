/// A fake client that sends one request after another and reconnects when its connection ends.
#pragma once

#include "gateway_process.h"
#include "soak_clock.h"
#include "soak_context.h"

#include "integration/protocol.h"
#include "net/stream.h"

#include <memory>
#include <string>

namespace fault_soak {

/// Sends requests to one gateway and reports each request and its end to the oracle. The context
/// and the process must outlive the client.
class FakeClient : gorsebeam::net::Stream::Events {
public:
  /// `Idle`: the client connects but sends no request.
  enum class Behavior { SendsRequests, Idle };

  FakeClient(SoakContext& context, int gateway, const GatewayProcess& process, Behavior behavior);
  FakeClient(const FakeClient&) = delete;
  FakeClient& operator=(const FakeClient&) = delete;

  void connect();
  /// Sends a request if none is in flight.
  void send_next_request();

private:
  /// `ResendRequest`: sends `request_` again, under a new id.
  enum class AfterReconnect { SendNextRequest, ResendRequest };

  void received() override;
  void ended(const std::string&) override;

  [[nodiscard]] test_harness::Request draw_request(const std::string& id);
  [[nodiscard]] std::string statement(bool is_write) const;
  void send(const std::string& id);
  void send_next_request_after(Millis delay);
  void disconnect();
  void reconnect(AfterReconnect next);

  [[nodiscard]] bool is_connected() const { return stream_ && stream_->is_open(); }

  SoakContext& context_;
  const int gateway_;
  const GatewayProcess& process_;
  const Behavior behavior_;
  std::shared_ptr<gorsebeam::net::Stream> stream_;
  std::string input_;
  std::string request_id_;  ///< Of the request in flight; empty if there is none.
  test_harness::Request request_;
  ServiceClass service_class_ = ServiceClass::Idempotent;
  Millis deadline_ = 0;  ///< Of `request_`.
};

}  // namespace fault_soak
