/// A conversation with the simulator: lines of JSON in batches, with one reply to each batch.
#pragma once

#include "event_reader.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gorsebeam::simulator_adapter {

/// Holds the routers that the simulator started and passes them its events. Makes no decisions.
class Session {
public:
  /// Handles one line of input and appends the reply's lines to `reply`, which is complete when the
  /// session is no longer inside a batch. Throws ProtocolError.
  void handle_line(const std::string& text, std::string& reply);

  [[nodiscard]] bool is_inside_batch() const { return is_inside_batch_; }

private:
  struct Instance {
    Router router;
    settings::DeploymentProfile profile;
  };

  void begin_batch(const settings::JsonObjectReader& body);
  void handle_message(const std::string& name, const settings::JsonObjectReader& body,
                      std::string& reply);
  void start_router(const settings::JsonObjectReader& body);
  /// Messages to one of the routers.
  void handle_router_message(const std::string& name, const settings::JsonObjectReader& body,
                             std::string& reply);

  bool is_inside_batch_ = false;
  TimePoint now_{};
  std::map<std::int64_t, Instance> instances_;  // by the simulator's number of the router
  EndpointBuffers endpoint_buffers_;
  std::vector<Action> actions_;  // empty between events; a member to save allocations
};

}  // namespace gorsebeam::simulator_adapter
