/// A TCP proxy between a gateway and a control service that can drop the connection within a
/// message, or lose all traffic.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

namespace fake_control_plane {

/// Forwards bytes on the main loop of the test.
class FaultyProxy {
public:
  explicit FaultyProxy(const std::string& service_address);
  FaultyProxy(const FaultyProxy&) = delete;
  FaultyProxy& operator=(const FaultyProxy&) = delete;
  ~FaultyProxy();

  /// Where the gateway connects.
  [[nodiscard]] std::string address() const;

  /// Closes the connection once the service has sent `byte_count` further bytes. It applies once.
  void disconnect_after(std::size_t byte_count);

  /// Discards all bytes, in both directions, until resume_forwarding().
  void start_discarding();
  void resume_forwarding();

private:
  struct Tunnel;
  struct Proxy;
  std::unique_ptr<Proxy> proxy_;
};

}  // namespace fake_control_plane
