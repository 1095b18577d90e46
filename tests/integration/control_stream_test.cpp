// The stream to the control service: its loss and recovery, two services of which one lags, and
// peers that break the protocol.
#include "control_plane_test_support.h"

#include "fake_control_plane/faulty_proxy.h"
#include "fake_control_plane/http2_frames.h"
#include "fake_control_plane/scripted_peer.h"

using namespace test_harness;
using namespace fake_control_plane;

namespace {

constexpr int kGrpcUnavailable = 14;

class ControlStream : public GatewayIntegrationTest {
protected:
  // Cuts the stream within pushes: in the head of a frame, in the head of a message, in a message,
  // and between two resource types of one change.
  static void expect_recovery_from_cuts(ControlledGateway& gateway, ControlService& service,
                                        FaultyProxy& proxy, BackgroundLoad& load,
                                        std::uint64_t& generation);
  static void expect_recovery_from_silence(ControlledGateway& gateway, ControlService& service,
                                           FaultyProxy& proxy, BackgroundLoad& load,
                                           std::uint64_t& generation);
};

void ControlStream::expect_recovery_from_cuts(ControlledGateway& gateway, ControlService& service,
                                              FaultyProxy& proxy, BackgroundLoad& load,
                                              std::uint64_t& generation) {
  for (const std::size_t byte_count : {4, 11, 40, 400}) {
    SCOPED_TRACE("cut after " + std::to_string(byte_count) + " bytes");
    const int stream_count = service.stream_count();
    proxy.disconnect_after(byte_count);
    ++generation;
    pb::Contracts half = test_harness::ControlledGateway::contracts(generation);
    half.mutable_team(0)->mutable_class_(0)->set_tries(3);
    service.push(half, "half");
    service.push(gateway.members(generation), "half");
    load.await_new_stream(service, stream_count);
    load.wait_until(
        [&] {
          return service.received_requests().back().nonce.empty() || service.has_open_stream();
        },
        "the gateway to subscribe again");
    load.await_responses(20);
    ++generation;
    ASSERT_EQ(service.push_and_await_ack(gateway.contracts(generation), "whole"), "");
  }
}

void ControlStream::expect_recovery_from_silence(ControlledGateway& gateway,
                                                 ControlService& service, FaultyProxy& proxy,
                                                 BackgroundLoad& load, std::uint64_t& generation) {
  const int stream_count = service.stream_count();
  proxy.start_discarding();
  load.wait_until(
      [&] {
        return gateway.has_logged("it is silent, also when asked");
      },
      "the gateway to notice the silence");
  proxy.resume_forwarding();
  load.await_new_stream(service, stream_count);
  ++generation;
  ASSERT_EQ(service.push_and_await_ack(gateway.contracts(generation), "again"), "");
  ASSERT_TRUE(gateway.has_logged("control_stream_restored"));
}

// Each loss is noticed, the configuration in force stays, and the service is found again.
TEST_P(ControlStream, RecoversFromEachKindOfLoss) {
  ControlledGateway gateway(protocol());
  ControlService service;
  FaultyProxy proxy(service.address());
  gateway.start({proxy.address()});
  BackgroundLoad load(gateway.harness, 4);
  load.await_subscriptions(service);
  std::uint64_t generation = 1;
  ASSERT_EQ(service.push_and_await_ack(gateway.contracts(generation), "c1"), "");

  expect_recovery_from_cuts(gateway, service, proxy, load, generation);
  expect_recovery_from_silence(gateway, service, proxy, load, generation);
  const int stream_count = service.stream_count();
  service.end_stream(kGrpcUnavailable, "maintenance");
  load.await_new_stream(service, stream_count);
  ASSERT_TRUE(gateway.has_logged("it ended the call with status"));
  service.shut_down();
  load.wait_until(
      [&] {
        return gateway.has_logged("Connection reset") || gateway.has_logged("closed by the peer") ||
               gateway.has_logged("goes away");
      },
      "the gateway to notice the service's end");
  load.await_responses(50);
  load.expect_all_served();
  load.pause();
  gateway.harness.expect_invariants();
}

TEST_P(ControlStream, KeepsNewerVersionAgainstLaggingService) {
  ControlledGateway gateway(protocol());
  auto current = std::make_unique<ControlService>();
  ControlService lagging;
  gateway.start({current->address(), lagging.address()});
  await_subscriptions(*current);
  ASSERT_EQ(current->push_and_await_ack(gateway.contracts(9), "c9"), "");
  current->shut_down();
  wait_until(
      [&] {
        return lagging.received_requests().size() >= 3 && lagging.has_open_stream();
      },
      "the gateway to subscribe at the other address");
  ASSERT_EQ(lagging.received_requests()[0].version, "c9")
      << "the subscription names the version in force";
  expect_contains(
      lagging.push_and_await_ack(test_harness::ControlledGateway::contracts(8, {"save"}), "c8"),
      "generation 8 is older than 9");
  const auto client = gateway.harness.connect_client();
  ASSERT_EQ(client->send_and_await(read_request("fine")), ClientResult::Served);
  gateway.harness.expect_invariants();
}

struct BrokenPeer {
  std::string bytes;
  const char* log_text;
};

std::string repeat(const std::string& text, int count) {
  std::string all;
  for (int i = 0; i < count; ++i)
    all += text;
  return all;
}

std::vector<BrokenPeer> broken_peers() {
  const std::string start = http2_settings_frame() + http2_grpc_headers_frame();
  const std::string pings =
      repeat(http2_frame(Http2FrameType::Ping, kNoFlags, kConnectionStream, "12345678"), 3000);
  const std::string many_settings =
      repeat(http2_frame(Http2FrameType::Settings, kNoFlags, kConnectionStream, ""), 3000);
  // HPACK literals without indexing, of 300 bytes each.
  const std::string header =
      std::string("\x00\x03", 2) + "abc" + std::string("\x7f\xad\x01", 3) + std::string(300, 'v');
  const std::string headers = std::string("\x88", 1) + repeat(header, 50);
  return {
      {start + http2_frame(Http2FrameType::Data, kNoFlags, kFirstStream,
                           std::string("\0\xff\xff\xff\xff", 5) + "x"),
       "longer than 4 MiB"},
      {start + http2_frame(Http2FrameType::Data, kNoFlags, kFirstStream,
                           std::string("\1\0\0\0\1", 5) + "x"),
       "compressed"},
      {start + http2_frame(Http2FrameType::Data, kNoFlags, kFirstStream,
                           std::string("\0\0\0\0\2", 5) + "\xff\xff"),
       "cannot be read"},
      {http2_settings_frame() +
           http2_frame(Http2FrameType::Headers, kEndHeaders, kFirstStream, headers),
       "over 16 KiB"},
      {start + pings, "floods"},
      {start + many_settings, "floods"},
      {http2_settings_frame() +
           http2_frame(Http2FrameType::Headers, kEndStream | kEndHeaders, kFirstStream, "\x8d"),
       "HTTP status 404"},
      {start +
           http2_frame(Http2FrameType::GoAway, kNoFlags, kConnectionStream, std::string(8, '\0')),
       "goes away"},
      {"HTTP/1.1 400 Bad Request\r\n\r\n", "control_stream_lost"},
      {std::string(20000, '\xff'), "control_stream_lost"},
      {http2_settings_frame() + http2_frame(Http2FrameType::Data, kNoFlags, 3, "nobody's"),
       "broke the rules"},
  };
}

// The connection of a peer that breaks the protocol or floods ends and is opened again; requests do
// not notice.
TEST_P(ControlStream, EndsConnectionOfPeerThatBreaksProtocol) {
  for (const BrokenPeer& peer : broken_peers()) {
    SCOPED_TRACE(peer.log_text);
    ControlledGateway gateway(protocol(), 2);
    ScriptedPeer script(peer.bytes);
    gateway.start({script.address()});
    BackgroundLoad load(gateway.harness, 2);
    load.wait_until(
        [&] {
          return script.connection_count() >= 2 && gateway.has_logged(peer.log_text);
        },
        std::string("a second connection and the log text: ") + peer.log_text);
    load.await_responses(10);
    load.expect_all_served();
    load.pause();
    gateway.harness.expect_invariants();
  }
}

INSTANTIATE_TEST_SUITE_P(, ControlStream, both_protocols(), protocol_name);

}  // namespace
