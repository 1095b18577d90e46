// The simulator's wire: lines of JSON to the library's types and back. No decision is made here.
#pragma once

#include "settings/deployment_profile.h"

#include <array>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace gorsebeam::simulator_adapter {

using WireError = settings::FormatError;

class Session {
public:
  // Takes one line; appends the reply's lines, ending with the one that ends a reply, once a batch
  // is whole.
  void line(const std::string& text, std::string& reply);

  bool inside_batch() const { return open_; }

private:
  struct Instance {
    Router router;
    settings::DeploymentProfile profile;
  };

  using JsonObjectReader = settings::JsonObjectReader;

  void event(const std::string& name, const JsonObjectReader& body, std::string& reply);
  void start(const JsonObjectReader& body);
  void list(const JsonObjectReader& body);
  void give(std::int64_t number, const Event& event, std::string& reply);
  Event read_event(const std::string& name, const JsonObjectReader& body,
                   const Instance& instance) const;

  bool open_ = false;
  Nanos now_ = 0;
  std::map<std::int64_t, Instance> instances_;
  std::array<std::vector<Endpoint>, 16> lists_;
  std::vector<Action> actions_;  // kept to spare allocations
};

}  // namespace gorsebeam::simulator_adapter
