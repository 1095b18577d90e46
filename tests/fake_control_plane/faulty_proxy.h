/// A TCP proxy between a gateway and a control service. It can close the connection in the middle
/// of a message, or discard all traffic.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

namespace fake_control_plane {

/// Forwards bytes in both directions, on the test's main loop.
class FaultyProxy {
public:
  explicit FaultyProxy(const std::string& service_address);
  FaultyProxy(const FaultyProxy&) = delete;
  FaultyProxy& operator=(const FaultyProxy&) = delete;
  ~FaultyProxy();

  /// Returns the address to which the gateway connects.
  [[nodiscard]] std::string address() const;

  /// Closes the connection after the service has sent `byte_count` more bytes. Later connections
  /// are not affected.
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
