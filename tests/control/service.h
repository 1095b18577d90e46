// Stand-ins for a control service, on loopback: one on libgrpc++, so that both ends are not one
// reading of the protocol; a cable that can be cut in mid-push or fall silent; and a peer that
// sends bytes by script.
#pragma once

#include "integration/test_harness.h"

#include "gorsebeam/config/v1/config.pb.h"

#include <memory>
#include <string>
#include <vector>

namespace stand_in {

namespace pb = gorsebeam::config::v1;

struct Heard {  // a request of the gateway
  std::string type, version, nonce, error, node;
};

class Service {
public:
  Service();
  ~Service();
  std::string address() const;
  int streams() const;  // that were opened so far
  bool streaming() const;
  std::vector<Heard> heard() const;
  // Sends one response of the message's type on the present stream; its nonce.
  std::string push(const std::vector<const google::protobuf::Message*>& resources,
                   const std::string& version, const std::string& type_url = "");

  std::string push(const google::protobuf::Message& resource, const std::string& version) {
    return push({&resource}, version);
  }

  // Waits for the answer: empty where it was accepted, else the reason. Fails the test where there
  // are two.
  std::string answer(const std::string& nonce) const;

  std::string push_and_answer(const google::protobuf::Message& resource,
                              const std::string& version) {
    return answer(push(resource, version));
  }

  void end(int code, const std::string& words);  // ends the stream with a status
  void go_away();                                // ends the server; it listens no more

private:
  struct Self;
  std::unique_ptr<Self> self_;
};

// Carries bytes between a gateway and a service.
class Cable {
public:
  explicit Cable(const std::string& to);
  ~Cable();
  std::string address() const;
  void
  cut_after(std::size_t bytes);  // of those that come from the service from now on; then a reset
  void silence(bool on);         // nothing comes through any more, either way
  int connections() const;

private:
  struct Pair;
  struct Self;
  std::unique_ptr<Self> self_;
};

// Sends the same bytes to whoever connects, and takes what comes.
class Script {
public:
  explicit Script(std::string bytes);
  ~Script();
  std::string address() const;
  int connections() const;  // so far
  int ended() const;        // by the gateway

private:
  struct Link;
  struct Self;
  std::unique_ptr<Self> self_;
};

// HTTP/2 frames for scripts, from the public specification.
std::string frame(int type, int flags, int stream, const std::string& payload);
std::string settings_frame();
std::string grpc_headers_frame();  // :status 200, content-type application/grpc, on stream 1

}  // namespace stand_in
