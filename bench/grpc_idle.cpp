// Measures the memory of an idle xDS stream, either on libgrpc++, which the gateway does not use,
// or on nghttp2 and the main loop, which it uses. Prints the resident memory of the process in KiB
// and the number of its threads, before and after the stream is opened.
//
// Usage: grpc_idle grpc|nghttp2 ADDRESS
#include "integration/event_wait.h"

#include "grpc/channel.h"
#include "xds/discovery_codec.h"

#include "ads.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <string>
#include <string_view>

namespace {

void print_memory_and_threads(const char* label) {
  std::ifstream status("/proc/self/status");
  std::string line;
  std::string text;
  while (std::getline(status, line))
    if (line.compare(0, 6, "VmRSS:") == 0 || line.compare(0, 8, "Threads:") == 0)
      text += line + "  ";
  std::printf("%s: %s\n", label, text.c_str());
}

/// Records that the channel is connected and ignores all other events.
class IdleChannelEvents : public gorsebeam::grpc::Channel::Events {
public:
  void on_connected() override { connected_ = true; }

  void on_bytes_received() override {}

  void on_message(std::string_view) override {}

  void on_disconnected(const gorsebeam::grpc::ChannelError&) override {}

  [[nodiscard]] bool is_connected() const { return connected_; }

private:
  bool connected_ = false;
};

int open_with_grpc(const char* address, const std::string& request) {
  const auto channel = ::grpc::CreateChannel(address, ::grpc::InsecureChannelCredentials());
  const auto stub = envoy::service::discovery::v3::AggregatedDiscoveryService::NewStub(channel);
  ::grpc::ClientContext context;
  const auto stream = stub->StreamAggregatedResources(&context);
  gorsebeam::xds::v3::DiscoveryRequest message;
  message.ParseFromString(request);
  if (!stream->Write(message))
    return 1;
  test_harness::run_main_loop_for(std::chrono::seconds(1));
  print_memory_and_threads("after ");
  context.TryCancel();
  return 0;
}

int open_with_nghttp2(const char* address, const std::string& request) {
  IdleChannelEvents events;
  gorsebeam::grpc::Channel channel(events);
  if (channel.open(address, gorsebeam::xds::kAggregatedStreamPath))
    return 1;
  test_harness::wait_until(
      [&] {
        return events.is_connected();
      },
      "the connection");
  channel.send_message(request);
  test_harness::run_main_loop_for(std::chrono::seconds(1));
  print_memory_and_threads("after ");
  return 0;
}

}  // namespace

int main(int argument_count, char** arguments) {
  if (argument_count != 3)
    return 2;
  const std::string request = gorsebeam::xds::encode_request({}, {"idle", "bench"});
  print_memory_and_threads("before");
  if (std::strcmp(arguments[1], "grpc") == 0)
    return open_with_grpc(arguments[2], request);
  return open_with_nghttp2(arguments[2], request);
}
