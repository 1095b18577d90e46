#include "control_plane_client.h"

#include "log_records.h"
#include "tracker_settings.h"

#include "net/log.h"
#include "xds/discovery_codec.h"
#include "xds/resources.h"

#include <utility>
#include <variant>

namespace gorsebeam::control_plane {

using config_versions::ResourceType;
using config_versions::StreamError;
using config_versions::ValidationError;

ControlPlaneClient::ControlPlaneClient(const config::OperatorFile& file, std::uint64_t seed,
                                       ApplyCallback apply)
    : validation_context_(file.context), gateway_config_(file.gateway), seed_(seed),
      apply_callback_(std::move(apply)), tracker_(make_tracker_settings(file, seed),
                                                  [this](const config_versions::Bodies& bodies) {
                                                    return validate(bodies);
                                                  }),
      channel_(*this), timer_([this] {
        on_timer();
      }) {
  tracker_.set_file_versions(make_file_versions(file));
}

std::optional<ValidationError>
ControlPlaneClient::validate(const config_versions::Bodies& bodies) const {
  const auto error = config::validate_group_references(
      xds::contracts_of(bodies[config_versions::index_of(ResourceType::Contracts)]),
      xds::members_of(bodies[config_versions::index_of(ResourceType::Members)]),
      validation_context_);
  if (!error)
    return std::nullopt;
  const auto code = error->is_missing_reference ? ValidationError::Code::UnresolvedReference
                                                : ValidationError::Code::InvalidContent;
  return ValidationError{code, error->to_string()};
}

bool ControlPlaneClient::uses_snapshots() const {
  return gateway_config_.has_control_service() && !gateway_config_.state_folder().empty();
}

void ControlPlaneClient::start() {
  if (uses_snapshots())
    SnapshotManager::restore(gateway_config_.state_folder(), validation_context_, tracker_);
  tracker_.start(net::now(), actions_);
  execute_actions();
}

void ControlPlaneClient::stop() {
  state_ = State::Stopped;
  timer_.stop();
  channel_.close();
}

std::optional<ValidationError> ControlPlaneClient::reload_file(const config::OperatorFile& file) {
  auto error = tracker_.replace_file_versions(net::now(), make_file_versions(file), actions_);
  if (!error) {
    gateway_config_ = file.gateway;
    tracker_.update_settings(net::now(), make_tracker_settings(file, seed_), actions_);
  }
  execute_actions();
  return error;
}

// ---- Events

void ControlPlaneClient::on_connected() {
  tracker_.on_stream_opened(net::now(), actions_);
  execute_actions();
}

void ControlPlaneClient::on_bytes_received() {
  tracker_.on_bytes_received(net::now());
}

void ControlPlaneClient::on_message(std::string_view bytes) {
  const auto response = xds::decode_response(bytes, validation_context_);
  if (response) {
    tracker_.on_response(net::now(), response.value(), actions_);
  } else {
    channel_.close();
    tracker_.on_stream_lost(net::now(),
                            {StreamError::Code::UnreadableMessage,
                             "received a message of " + std::to_string(bytes.size()) +
                                 " bytes that cannot be read as a DiscoveryResponse"},
                            actions_);
  }
  execute_actions();
}

void ControlPlaneClient::on_disconnected(const grpc::ChannelError& error) {
  tracker_.on_stream_lost(net::now(), {StreamError::Code::Disconnected, error.message}, actions_);
  execute_actions();
}

void ControlPlaneClient::on_timer() {
  tracker_.on_timer(net::now(), actions_);
  execute_actions();
}

// ---- Actions

// An action may cause events while it is executed. The actions that these events request are
// executed by the outermost call, after all actions that were requested earlier.
void ControlPlaneClient::execute_actions() {
  if (is_executing_)
    return;
  is_executing_ = true;
  while (!actions_.empty())
    execute_all(std::exchange(actions_, {}));
  is_executing_ = false;
  const TimePoint deadline = tracker_.next_deadline();
  if (state_ == State::Active && deadline != kNever)
    timer_.at(deadline);
}

void ControlPlaneClient::execute_all(const config_versions::Actions& actions) {
  for (const config_versions::Action& action : actions) {
    if (state_ == State::Stopped)
      return;
    std::visit(
        [this](const auto& typed_action) {
          this->execute(typed_action);
        },
        action);
  }
}

void ControlPlaneClient::execute(const config_versions::OpenStream& action) {
  if (const auto error = channel_.open(action.address, xds::kAggregatedStreamPath))
    tracker_.on_stream_lost(net::now(), {StreamError::Code::CannotConnect, error->message},
                            actions_);
}

void ControlPlaneClient::execute(const config_versions::CloseStream&) {
  channel_.close();
}

void ControlPlaneClient::execute(const config_versions::SendPing&) {
  channel_.send_ping();
}

void ControlPlaneClient::execute(const config_versions::DiscoveryRequest& request) {
  const config::pb::ControlService& service = gateway_config_.control_service();
  channel_.send_message(xds::encode_request(request, {service.node(), service.cluster()}));
}

void ControlPlaneClient::execute(const config_versions::ApplyConfiguration& action) {
  apply_callback_(to_configuration_update(action));
}

void ControlPlaneClient::execute(const config_versions::WriteSnapshot&) {
  if (uses_snapshots())
    snapshots_.write(gateway_config_.state_folder(), tracker_);
}

void ControlPlaneClient::execute(const config_versions::StreamLost& event) {
  net::log(to_record(event, tracker_.address()));
}

void ControlPlaneClient::execute(const config_versions::StreamRestored& event) {
  net::log(to_record(event, tracker_.address()));
}

void ControlPlaneClient::execute(const config_versions::VersionReceived& event) {
  net::log(to_record(event));
}

void ControlPlaneClient::execute(const config_versions::VersionAccepted& event) {
  net::log(to_record(event));
}

void ControlPlaneClient::execute(const config_versions::VersionRejected& event) {
  net::log(to_record(event));
}

void ControlPlaneClient::execute(const config_versions::VersionPending& event) {
  net::log(to_record(event));
}

}  // namespace gorsebeam::control_plane
