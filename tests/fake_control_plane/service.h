/// Control services for tests, on loopback: a service on libgrpc++, so that both ends of the
/// protocol are not one reading of it; a cable that can be cut within a message or fall silent; and
/// a peer that sends scripted bytes.
#pragma once

#include "integration/test_harness.h"

#include "gorsebeam/config/v1/config.pb.h"

#include <memory>
#include <string>
#include <vector>

namespace fake_control_plane {

namespace pb = gorsebeam::config::v1;

/// One request of the gateway.
struct ReceivedRequest {
  std::string type;
  std::string version;
  std::string nonce;
  /// Empty unless the request is a NACK.
  std::string error;
  std::string node;
};

/// An aggregated discovery service. Its server runs on threads of libgrpc++; the functions may be
/// called from the test's thread alone.
class ControlService {
public:
  ControlService();
  ~ControlService();
  [[nodiscard]] std::string address() const;

  /// Returns how many streams were opened so far.
  [[nodiscard]] int stream_count() const;

  [[nodiscard]] bool has_open_stream() const;

  /// Returns all requests so far, on whatever stream.
  [[nodiscard]] std::vector<ReceivedRequest> received_requests() const;

  /// Sends one response of the first message's type, or of `type_url`, on the present stream;
  /// returns its nonce.
  std::string push(const std::vector<const google::protobuf::Message*>& resources,
                   const std::string& version, const std::string& type_url = "");

  std::string push(const google::protobuf::Message& resource, const std::string& version) {
    return push({&resource}, version);
  }

  /// Waits for the answer to `nonce` and returns its error, which is empty for an ACK. Fails the
  /// test if there are two.
  [[nodiscard]] std::string await_ack(const std::string& nonce) const;

  std::string push_and_await_ack(const google::protobuf::Message& resource,
                              const std::string& version) {
    return await_ack(push(resource, version));
  }

  /// Ends the stream with a status.
  void end(int code, const std::string& words);

  /// Ends the server, which listens no more.
  void shut_down();

private:
  struct Self;
  std::unique_ptr<Self> self_;
};

/// Carries bytes between a gateway and a service, on the main loop.
class FaultyProxy {
public:
  explicit FaultyProxy(const std::string& to);
  ~FaultyProxy();
  [[nodiscard]] std::string address() const;

  /// Resets the connection once so many bytes have come from the service from now on.
  void disconnect_after(std::size_t bytes);

  /// Discards all bytes, either way, while it is on.
  void silence(bool on);

  /// Returns how many connections were accepted so far.
  [[nodiscard]] int connection_count() const;

private:
  struct Pair;
  struct Self;
  std::unique_ptr<Self> self_;
};

/// Sends the same bytes to every connection, and discards what comes.
class ScriptedPeer {
public:
  explicit ScriptedPeer(std::string bytes);
  ~ScriptedPeer();
  [[nodiscard]] std::string address() const;

  /// Returns how many connections were accepted so far.
  [[nodiscard]] int connection_count() const;

  /// Returns how many connections the gateway has ended.
  [[nodiscard]] int ended() const;

private:
  struct Link;
  struct Self;
  std::unique_ptr<Self> self_;
};

/// Returns an HTTP/2 frame (RFC 9113, section 4.1).
std::string http2_frame(int type, int flags, int stream, const std::string& payload);

/// Returns an empty SETTINGS frame.
std::string http2_settings_frame();

/// Returns a HEADERS frame on stream 1: `:status` 200 and `content-type` application/grpc.
std::string http2_grpc_headers_frame();

}  // namespace fake_control_plane
