/// A peer that breaks the protocol: it sends the same bytes on every connection and discards what
/// it receives.
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

  /// The number of connections that were accepted so far.
  [[nodiscard]] int connection_count() const;

private:
  struct Connection;
  struct Server;
  std::unique_ptr<Server> server_;
};

}  // namespace fake_control_plane
