/// An aggregated discovery service for tests, on the loopback interface. It uses libgrpc++, while
/// the gateway uses nghttp2, so that the two ends do not share the same misreading of the protocol.
#pragma once

#include "gorsebeam/config/v1/config.pb.h"

#include <memory>
#include <string>
#include <vector>

namespace fake_control_plane {

namespace pb = gorsebeam::config::v1;

/// One DiscoveryRequest of the gateway.
struct ReceivedRequest {
  std::string type;
  std::string version;
  std::string nonce;
  std::string error;  ///< Empty unless the request is a NACK.
  std::string node;
};

/// The server runs on threads of libgrpc++. Call the functions only from the test's thread, except
/// for push(), which may be called from any thread.
class ControlService {
public:
  ControlService();
  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;
  ~ControlService();

  [[nodiscard]] std::string address() const;

  /// Returns the number of streams that were opened so far.
  [[nodiscard]] int stream_count() const;

  [[nodiscard]] bool has_open_stream() const;

  /// Returns all requests that were received so far, on all streams.
  [[nodiscard]] std::vector<ReceivedRequest> received_requests() const;

  /// Sends one response on the open stream, if there is one. The response's type is `type_url`, or
  /// that of the first resource if `type_url` is empty. Returns the response's nonce.
  std::string push(const std::vector<const google::protobuf::Message*>& resources,
                   const std::string& version, const std::string& type_url = "");

  std::string push(const google::protobuf::Message& resource, const std::string& version) {
    return push({&resource}, version);
  }

  /// Waits for the ACK or NACK of `nonce` and returns its error, which is empty for an ACK. Fails
  /// the test if the gateway sent more than one ACK or NACK.
  [[nodiscard]] std::string await_ack(const std::string& nonce) const;

  std::string push_and_await_ack(const google::protobuf::Message& resource,
                                 const std::string& version) {
    return await_ack(push(resource, version));
  }

  /// Ends the open stream with a gRPC status.
  void end_stream(int status_code, const std::string& status_message);

  /// Shuts the server down. It closes its streams and stops listening.
  void shut_down();

private:
  struct Server;

  [[nodiscard]] std::vector<ReceivedRequest> requests_with_nonce(const std::string& nonce) const;

  std::unique_ptr<Server> server_;
};

}  // namespace fake_control_plane
