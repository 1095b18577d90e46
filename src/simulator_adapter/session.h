/// A session with the simulator, which sends lines of JSON in batches and gets one reply to each
/// batch.
#pragma once

#include "event_reader.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gorsebeam::simulator_adapter {

/// Owns the routers that the simulator started and passes its events to them. All decisions are the
/// routers'.
class Session {
public:
  /// Handles one line of input and appends lines to `reply`. The reply is complete once the session
  /// is no longer inside a batch. Throws ProtocolError.
  void handle_line(const std::string& text, std::string& reply);

  [[nodiscard]] bool is_inside_batch() const { return is_inside_batch_; }

private:
  /// A router that the simulator started, with the settings that it was started with.
  struct RouterInstance {
    Router router;
    settings::DeploymentProfile profile;
  };

  void begin_batch(const settings::JsonObjectReader& body);
  void handle_message(const std::string& name, const settings::JsonObjectReader& body,
                      std::string& reply);
  void start_router(const settings::JsonObjectReader& body);
  /// Handles a message to one of the routers.
  void handle_router_message(const std::string& name, const settings::JsonObjectReader& body,
                             std::string& reply);

  bool is_inside_batch_ = false;
  TimePoint now_{};
  std::map<std::int64_t, RouterInstance> instances_;  // By the simulator's number for the router.
  EndpointBuffers endpoint_buffers_;
  std::vector<Action> actions_;  // The last event's actions; a member so that its memory is reused.
};

}  // namespace gorsebeam::simulator_adapter
