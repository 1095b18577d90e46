// The one way in for what an operator configures: the file at the start, the file read again, and
// what a control service pushes all go through the version machine, and what it runs is handed on.
// Carries between the machine, the gRPC channel, the state folder and the log; with no control
// service nothing is connected or written.
#pragma once

#include "config/file.h"
#include "grpc/channel.h"
#include "net/timer.h"
#include "state/folder.h"
#include "versions/versions.h"

#include <functional>
#include <memory>
#include <string>

namespace gorsebeam::control {

class Client : grpc::Channel::Events {
public:
  // What is in force from now on; null where it is as it was.
  using Run = std::function<void(const config::pb::Contracts*, const config::pb::Members*,
                                 const config::pb::Limits*)>;
  Client(const config::File& file, std::uint64_t seed, Run run);
  void start();
  void stop();  // no new versions; what runs goes on
  // The file, read again. Not empty: why nothing was changed.
  std::string follow(const config::File& file);

private:
  void up() override;
  void heard() override;
  void message(std::string_view bytes) override;
  void down(const std::string& why) override;

  void load();
  void store();
  void perform();
  void note(const versions::Note& note);
  static versions::Settings settings_of(const config::File& file, std::uint64_t seed);
  std::array<versions::Version, versions::kTypes> versions_of(const config::File& file) const;

  config::Site site_;
  config::pb::Gateway file_;
  std::uint64_t seed_;
  Run run_;
  versions::Machine machine_;
  versions::Actions actions_;
  bool performing_ = false, stopped_ = false;
  grpc::Channel channel_;
  state::Writer writer_;
  net::Timer timer_;
};

}  // namespace gorsebeam::control
