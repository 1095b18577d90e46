// Passes the bytes of a malicious control service to all parts of the gateway that parse them, up
// to the version tracker. The first byte selects how the other bytes are parsed: as an xDS message,
// as gRPC frames or as HTTP/2.
#include "config/conversion.h"
#include "config_versions/version_tracker.h"
#include "grpc/session.h"
#include "xds/discovery_codec.h"
#include "xds/resources.h"

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace {

using namespace gorsebeam;

constexpr std::size_t kFramingPieceBytes = 7;
constexpr std::size_t kHttp2PieceBytes = 64;
constexpr Duration kTimePerPiece = 1ms;

config::ValidationContext make_validation_context() {
  config::ValidationContext context;
  context.classes = {{"any", 0}, {"save", 1}};
  context.postgres_members_configured = true;
  context.mongo_enabled = true;
  return context;
}

config_versions::TrackerSettings make_settings() {
  config_versions::TrackerSettings settings;
  settings.stream.addresses = {"127.0.0.1:1"};
  return settings;
}

// A version tracker with an open stream. The process aborts if the tracker applies resources that
// are not valid together.
class CheckedTracker {
public:
  CheckedTracker()
      : tracker_(make_settings(), [this](const config_versions::Bodies& bodies) {
          return validate(bodies);
        }) {
    tracker_.set_file_versions({xds::make_file_version(config::pb::Contracts()),
                                xds::make_file_version(config::pb::Members()),
                                xds::make_file_version(config::pb::Limits())});
    tracker_.start(now_, actions_);
    tracker_.on_stream_opened(now_, actions_);
  }

  void receive_message(std::string_view bytes) {
    const auto response = xds::decode_response(bytes, validation_context_);
    if (!response)
      return;
    now_ += 1ns;
    actions_.clear();
    tracker_.on_response(now_, response.value(), actions_);
    for (const config_versions::Action& action : actions_)
      check(action);
  }

private:
  void check(const config_versions::Action& action) const {
    if (const auto* request = std::get_if<config_versions::DiscoveryRequest>(&action))
      static_cast<void>(xds::encode_request(*request, {"node", "cluster"}));
    const auto* configuration = std::get_if<config_versions::ApplyConfiguration>(&action);
    if (!configuration)
      return;
    if (validate(configuration->bodies))
      std::abort();
    static_cast<void>(config::to_contract_set(xds::contracts_of(configuration->bodies[0]),
                                              validation_context_.classes));
    static_cast<void>(config::to_endpoints(xds::members_of(configuration->bodies[1]).postgres()));
  }

  [[nodiscard]] std::optional<config_versions::ValidationError>
  validate(const config_versions::Bodies& bodies) const {
    using Code = config_versions::ValidationError::Code;
    const auto error = config::validate_group_references(
        xds::contracts_of(bodies[0]), xds::members_of(bodies[1]), validation_context_);
    if (!error)
      return std::nullopt;
    return config_versions::ValidationError{error->is_missing_reference ? Code::UnresolvedReference
                                                                        : Code::InvalidContent,
                                            error->to_string()};
  }

  config::ValidationContext validation_context_ = make_validation_context();
  config_versions::VersionTracker tracker_;
  config_versions::Actions actions_;
  TimePoint now_{1ns};
};

void feed_frames(std::string_view bytes, CheckedTracker& tracker) {
  grpc::MessageReader reader;
  for (std::size_t offset = 0; offset < bytes.size(); offset += kFramingPieceBytes) {
    reader.feed(bytes.substr(offset, kFramingPieceBytes));
    auto message = reader.next();
    while (message && message.value()) {
      tracker.receive_message(*message.value());
      message = reader.next();
    }
  }
}

void discard_output(grpc::Session& session) {
  while (!session.next_output().empty()) {
  }
}

void feed_http2(std::string_view bytes, CheckedTracker& tracker) {
  grpc::Session session("127.0.0.1:1", xds::kAggregatedStreamPath);
  discard_output(session);
  TimePoint now{};
  for (std::size_t offset = 0; offset < bytes.size() && !session.error();
       offset += kHttp2PieceBytes) {
    now += kTimePerPiece;
    session.receive(bytes.substr(offset, kHttp2PieceBytes), now);
    while (const auto message = session.next_message())
      tracker.receive_message(*message);
    discard_output(session);
  }
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer looks for this name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0)
    return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  CheckedTracker tracker;
  switch (data[0] % 3) {
  case 0:
    tracker.receive_message(bytes);
    break;
  case 1:
    feed_frames(bytes, tracker);
    break;
  default:
    feed_http2(bytes, tracker);
  }
  return 0;
}
