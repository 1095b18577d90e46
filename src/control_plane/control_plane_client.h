// The one way in for what an operator configures: the file at the start, the file read again, and
// what a control service pushes all go through the version machine, and what it runs is handed on.
// Carries between the machine, the gRPC channel, the state folder and the log; with no control
// service nothing is connected or written.
#pragma once

#include "config/operator_file.h"
#include "config_versions/version_tracker.h"
#include "grpc/channel.h"
#include "net/timer.h"
#include "snapshot_store/snapshot_store.h"

#include <functional>
#include <memory>
#include <string>

namespace gorsebeam::control_plane {

class Client : grpc::Channel::Events {
public:
  // What is in force from now on; null where it is as it was.
  using Run = std::function<void(const config::pb::Contracts*, const config::pb::Members*,
                                 const config::pb::Limits*)>;
  Client(const config::OperatorFile& file, std::uint64_t seed, Run run);
  void start();
  void stop();  // no new versions; what runs goes on
  // The file, read again. Not empty: why nothing was changed.
  std::string follow(const config::OperatorFile& file);

private:
  void up() override;
  void heard() override;
  void message(std::string_view bytes) override;
  void down(const std::string& why) override;

  void load();
  void store();
  void perform();
  void note(const config_versions::Note& note);
  static config_versions::Settings settings_of(const config::OperatorFile& file,
                                               std::uint64_t seed);
  std::array<config_versions::Version, config_versions::kTypes>
  versions_of(const config::OperatorFile& file) const;

  config::ValidationContext site_;
  config::pb::Gateway file_;
  std::uint64_t seed_;
  Run run_;
  config_versions::Machine machine_;
  config_versions::Actions actions_;
  bool performing_ = false, stopped_ = false;
  grpc::Channel channel_;
  snapshot_store::Writer writer_;
  net::Timer timer_;
};

}  // namespace gorsebeam::control_plane
