/// A server that sends the same bytes on every connection, which may violate the protocol, and
/// discards the bytes that it receives.
#pragma once

#include <memory>
#include <string>

namespace fake_control_plane {

class ScriptedPeer {
public:
  explicit ScriptedPeer(std::string bytes);
  ScriptedPeer(const ScriptedPeer&) = delete;
  ScriptedPeer& operator=(const ScriptedPeer&) = delete;
  ~ScriptedPeer();

  [[nodiscard]] std::string address() const;

  /// Returns the number of connections that were accepted so far.
  [[nodiscard]] int connection_count() const;

private:
  struct Connection;
  struct Server;
  std::unique_ptr<Server> server_;
};

}  // namespace fake_control_plane
