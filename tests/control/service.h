/// Control services for tests, on loopback: a service on libgrpc++, so that both ends of the
/// protocol are not one reading of it; a cable that can be cut within a message or fall silent; and
/// a peer that sends scripted bytes.
#pragma once

#include "integration/test_harness.h"

#include "gorsebeam/config/v1/config.pb.h"

#include <memory>
#include <string>
#include <vector>

namespace stand_in {

namespace pb = gorsebeam::config::v1;

/// One request of the gateway.
struct Heard {
  std::string type;
  std::string version;
  std::string nonce;
  /// Empty unless the request is a NACK.
  std::string error;
  std::string node;
};

/// An aggregated discovery service. Its server runs on threads of libgrpc++; the functions may be
/// called from the test's thread alone.
class Service {
public:
  Service();
  ~Service();
  [[nodiscard]] std::string address() const;

  /// Returns how many streams were opened so far.
  [[nodiscard]] int streams() const;

  [[nodiscard]] bool streaming() const;

  /// Returns all requests so far, on whatever stream.
  [[nodiscard]] std::vector<Heard> heard() const;

  /// Sends one response of the first message's type, or of `type_url`, on the present stream;
  /// returns its nonce.
  std::string push(const std::vector<const google::protobuf::Message*>& resources,
                   const std::string& version, const std::string& type_url = "");

  std::string push(const google::protobuf::Message& resource, const std::string& version) {
    return push({&resource}, version);
  }

  /// Waits for the answer to `nonce` and returns its error, which is empty for an ACK. Fails the
  /// test if there are two.
  [[nodiscard]] std::string answer(const std::string& nonce) const;

  std::string push_and_answer(const google::protobuf::Message& resource,
                              const std::string& version) {
    return answer(push(resource, version));
  }

  /// Ends the stream with a status.
  void end(int code, const std::string& words);

  /// Ends the server, which listens no more.
  void go_away();

private:
  struct Self;
  std::unique_ptr<Self> self_;
};

/// Carries bytes between a gateway and a service, on the main loop.
class Cable {
public:
  explicit Cable(const std::string& to);
  ~Cable();
  [[nodiscard]] std::string address() const;

  /// Resets the connection once so many bytes have come from the service from now on.
  void cut_after(std::size_t bytes);

  /// Discards all bytes, either way, while it is on.
  void silence(bool on);

  /// Returns how many connections were accepted so far.
  [[nodiscard]] int connections() const;

private:
  struct Pair;
  struct Self;
  std::unique_ptr<Self> self_;
};

/// Sends the same bytes to every connection, and discards what comes.
class Script {
public:
  explicit Script(std::string bytes);
  ~Script();
  [[nodiscard]] std::string address() const;

  /// Returns how many connections were accepted so far.
  [[nodiscard]] int connections() const;

  /// Returns how many connections the gateway has ended.
  [[nodiscard]] int ended() const;

private:
  struct Link;
  struct Self;
  std::unique_ptr<Self> self_;
};

/// Returns an HTTP/2 frame (RFC 9113, section 4.1).
std::string frame(int type, int flags, int stream, const std::string& payload);

/// Returns an empty SETTINGS frame.
std::string settings_frame();

/// Returns a HEADERS frame on stream 1: `:status` 200 and `content-type` application/grpc.
std::string grpc_headers_frame();

}  // namespace stand_in
