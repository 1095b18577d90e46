// The stream to the control service: its loss and recovery, two services of which one lags, and
// peers that violate the protocol.
#include "control_plane_test_support.h"

#include "fake_control_plane/faulty_proxy.h"
#include "fake_control_plane/http2_frames.h"
#include "fake_control_plane/scripted_peer.h"

using namespace test_harness;
using namespace fake_control_plane;

namespace {

constexpr int kGrpcUnavailable = 14;

class ControlStream : public GatewayIntegrationTest {};

// A gateway under load, whose connection to the control service passes through a faulty proxy.
class ControlStreamRecovery : public GatewayIntegrationTest {
protected:
  ControlStreamRecovery() : gateway_(protocol()), proxy_(service_.address()) {}

  void start_under_load() {
    gateway_.start({proxy_.address()});
    load_ = std::make_unique<BackgroundLoad>(gateway_.harness, 4);
    load_->await_subscriptions(service_);
    expect_next_contracts_accepted("c1");
  }

  void expect_next_contracts_accepted(const std::string& version) {
    ++generation_;
    ASSERT_EQ(service_.push_and_await_ack(ControlledGateway::contracts(generation_), version), "");
  }

  void expect_recovery_from_cut(std::size_t byte_count);
  void expect_recovery_from_silence();
  void expect_recovery_from_ended_stream();
  void expect_requests_served_without_service();

  ControlledGateway gateway_;
  ControlService service_;
  FaultyProxy proxy_;
  std::unique_ptr<BackgroundLoad> load_;
  std::uint64_t generation_ = 0;
};

// Cuts the connection after `byte_count` bytes of a push of two resource types that belong to one
// change.
void ControlStreamRecovery::expect_recovery_from_cut(std::size_t byte_count) {
  SCOPED_TRACE("cut after " + std::to_string(byte_count) + " bytes");
  const int stream_count = service_.stream_count();
  proxy_.disconnect_after(byte_count);
  ++generation_;
  pb::Contracts incomplete = ControlledGateway::contracts(generation_);
  incomplete.mutable_team(0)->mutable_class_(0)->set_tries(3);
  service_.push(incomplete, "half");
  service_.push(gateway_.members(generation_), "half");

  load_->await_new_stream(service_, stream_count);

  load_->wait_until(
      [&] {
        return service_.received_requests().back().nonce.empty() || service_.has_open_stream();
      },
      "the gateway to subscribe again");
  load_->await_responses(20);
  expect_next_contracts_accepted("whole");
}

void ControlStreamRecovery::expect_recovery_from_silence() {
  const int stream_count = service_.stream_count();
  proxy_.start_discarding();
  load_->wait_until(
      [&] {
        return gateway_.has_logged("the control service is silent") &&
               gateway_.has_logged("and no answer to a ping");
      },
      "the gateway to log that the control service is silent");
  proxy_.resume_forwarding();
  load_->await_new_stream(service_, stream_count);
  expect_next_contracts_accepted("again");
  ASSERT_TRUE(gateway_.has_logged("control_stream_restored"));
}

void ControlStreamRecovery::expect_recovery_from_ended_stream() {
  const int stream_count = service_.stream_count();
  service_.end_stream(kGrpcUnavailable, "maintenance");
  load_->await_new_stream(service_, stream_count);
  ASSERT_TRUE(gateway_.has_logged("the peer ended the call with gRPC status"));
}

void ControlStreamRecovery::expect_requests_served_without_service() {
  service_.shut_down();
  load_->wait_until(
      [&] {
        return gateway_.has_logged("Connection reset") ||
               gateway_.has_logged("closed by the peer") ||
               gateway_.has_logged("the peer sent GOAWAY");
      },
      "the gateway to log the end of its connection to the service");
  load_->await_responses(50);
  load_->expect_all_served();
}

// The gateway notices each loss, keeps the configuration in force, and subscribes again.
TEST_P(ControlStreamRecovery, ResubscribesAfterEachKindOfLoss) {
  start_under_load();

  // The cuts lie in the header of a frame, in the header of a message, in a message, and between
  // the two resource types.
  for (const std::size_t byte_count : {4, 11, 40, 400})
    expect_recovery_from_cut(byte_count);
  expect_recovery_from_silence();
  expect_recovery_from_ended_stream();
  expect_requests_served_without_service();

  load_->pause();
  gateway_.harness.expect_invariants();
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
  expect_contains(lagging.push_and_await_ack(ControlledGateway::contracts(8, {"save"}), "c8"),
                  "generation 8 is older than 9");
  const auto client = gateway.harness.connect_client();
  ASSERT_EQ(client->send_and_await(read_request("fine")), ClientResult::Served);
  gateway.harness.expect_invariants();
}

// What a peer sends in place of a valid stream, and what the gateway logs about it.
struct FaultyPeerCase {
  std::string bytes;
  const char* log_text;
};

std::string repeat(const std::string& text, int count) {
  std::string all;
  for (int i = 0; i < count; ++i)
    all += text;
  return all;
}

std::string data_frame(const std::string& payload) {
  return http2_frame(Http2FrameType::Data, kNoFlags, kFirstStream, payload);
}

std::vector<FaultyPeerCase> faulty_peer_cases() {
  const std::string start = http2_settings_frame() + http2_grpc_headers_frame();
  const std::string pings =
      repeat(http2_frame(Http2FrameType::Ping, kNoFlags, kConnectionStream, "12345678"), 3000);
  const std::string many_settings =
      repeat(http2_frame(Http2FrameType::Settings, kNoFlags, kConnectionStream, ""), 3000);
  // In HPACK, status 200 and 50 literal header fields without indexing, each with a value of 300
  // bytes.
  const std::string header =
      std::string("\x00\x03", 2) + "abc" + std::string("\x7f\xad\x01", 3) + std::string(300, 'v');
  const std::string headers = std::string("\x88", 1) + repeat(header, 50);
  return {
      {start + data_frame(std::string("\0\xff\xff\xff\xff", 5) + "x"), "longer than 4 MiB"},
      {start + data_frame(std::string("\1\0\0\0\1", 5) + "x"), "compressed"},
      {start + data_frame(std::string("\0\0\0\0\2", 5) + "\xff\xff"), "cannot be read"},
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
       "the peer sent GOAWAY"},
      {"HTTP/1.1 400 Bad Request\r\n\r\n", "control_stream_lost"},
      {std::string(20000, '\xff'), "control_stream_lost"},
      {http2_settings_frame() + http2_frame(Http2FrameType::Data, kNoFlags, 3, "payload"),
       "violated the HTTP/2 protocol"},
  };
}

// The gateway closes the connection to a peer that violates the protocol, ends the call or floods
// it with frames, and connects again. Requests are not affected.
TEST_P(ControlStream, EndsConnectionOfPeerThatViolatesProtocol) {
  for (const FaultyPeerCase& peer : faulty_peer_cases()) {
    SCOPED_TRACE(peer.log_text);
    ControlledGateway gateway(protocol(), 2);
    const ScriptedPeer scripted_peer(peer.bytes);
    gateway.start({scripted_peer.address()});
    BackgroundLoad load(gateway.harness, 2);
    load.wait_until(
        [&] {
          return scripted_peer.connection_count() >= 2 && gateway.has_logged(peer.log_text);
        },
        std::string("a second connection and the log text: ") + peer.log_text);
    load.await_responses(10);
    load.expect_all_served();
    load.pause();
    gateway.harness.expect_invariants();
  }
}

INSTANTIATE_TEST_SUITE_P(, ControlStream, both_protocols(), protocol_name);
INSTANTIATE_TEST_SUITE_P(, ControlStreamRecovery, both_protocols(), protocol_name);

}  // namespace
