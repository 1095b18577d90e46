/// An aggregated discovery service for tests, on loopback. It is built on libgrpc++, and the
/// gateway on nghttp2, so that the two ends do not share one reading of the protocol.
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

/// The server runs on threads of libgrpc++; the functions may be called from the test's thread
/// alone.
class ControlService {
public:
  ControlService();
  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;
  ~ControlService();

  [[nodiscard]] std::string address() const;

  /// The number of streams that were opened so far.
  [[nodiscard]] int stream_count() const;

  [[nodiscard]] bool has_open_stream() const;

  /// All requests so far, on all streams.
  [[nodiscard]] std::vector<ReceivedRequest> received_requests() const;

  /// Sends one response of the first resource's type, or of `type_url`, on the open stream, if
  /// there is one. Returns its nonce.
  std::string push(const std::vector<const google::protobuf::Message*>& resources,
                   const std::string& version, const std::string& type_url = "");

  std::string push(const google::protobuf::Message& resource, const std::string& version) {
    return push({&resource}, version);
  }

  /// Waits for the ACK or NACK of `nonce` and returns its error, which is empty for an ACK. Fails
  /// the test if the gateway sent more than one.
  [[nodiscard]] std::string await_ack(const std::string& nonce) const;

  std::string push_and_await_ack(const google::protobuf::Message& resource,
                                 const std::string& version) {
    return await_ack(push(resource, version));
  }

  /// Ends the open stream with a gRPC status.
  void end_stream(int status_code, const std::string& status_message);

  /// Ends the server; it does not listen any more.
  void shut_down();

private:
  struct Server;

  [[nodiscard]] std::vector<ReceivedRequest> requests_with_nonce(const std::string& nonce) const;

  std::unique_ptr<Server> server_;
};

}  // namespace fake_control_plane
