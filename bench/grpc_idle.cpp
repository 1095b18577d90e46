// What the way not taken costs: an idle xDS stream on libgrpc++. Prints the process's resident
// memory, in KiB, before and after, and its threads. For nghttp2 the same is done with a session on
// a socket of the loop.
#include "control/service.h"

#include "grpc/channel.h"
#include "xds/xds.h"

#include "ads.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <cstdio>
#include <cstring>
#include <fstream>

namespace {

void show(const char* what) {
  std::ifstream status("/proc/self/status");
  std::string line, text;
  while (std::getline(status, line))
    if (line.compare(0, 6, "VmRSS:") == 0 || line.compare(0, 8, "Threads:") == 0)
      text += line + "  ";
  std::printf("%s: %s\n", what, text.c_str());
}

struct Quiet : gorsebeam::grpc::Channel::Events {
  void up() override { ready = true; }

  void heard() override {}

  void message(std::string_view) override {}

  void down(const std::string&) override {}

  bool ready = false;
};

}  // namespace

// grpc_idle grpc|nghttp2 ADDRESS
int main(int count, char** arguments) {
  if (count != 3)
    return 2;
  const std::string request = gorsebeam::xds::request({}, "idle", "bench");
  show("before");
  if (std::strcmp(arguments[1], "grpc") == 0) {
    const auto channel = ::grpc::CreateChannel(arguments[2], ::grpc::InsecureChannelCredentials());
    const auto stub = envoy::service::discovery::v3::AggregatedDiscoveryService::NewStub(channel);
    ::grpc::ClientContext context;
    const auto stream = stub->StreamAggregatedResources(&context);
    gorsebeam::xds::v3::DiscoveryRequest message;
    message.ParseFromString(request);
    if (!stream->Write(message))
      return 1;
    test_harness::pass(1000);
    show("after ");
    context.TryCancel();
    return 0;
  }
  Quiet events;
  gorsebeam::grpc::Channel channel(events);
  channel.dial(arguments[2], gorsebeam::xds::kPath);
  test_harness::until(
      [&] {
        return events.ready;
      },
      "the connection");
  channel.send(request);
  test_harness::pass(1000);
  show("after ");
}
