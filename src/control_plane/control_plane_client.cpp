#include "control_plane_client.h"

#include "net/log.h"
#include "snapshot_store/snapshot_codec.h"
#include "snapshot_store/snapshot_file.h"
#include "xds/discovery_codec.h"
#include "xds/resources.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace gorsebeam::control_plane {
namespace {

using config_versions::ResourceType;
using config_versions::StreamError;
using config_versions::ValidationError;
using snapshot_store::SnapshotError;

config_versions::StreamSettings make_stream_settings(const config::pb::ControlService& service) {
  config_versions::StreamSettings settings;
  settings.addresses.assign(service.address().begin(), service.address().end());
  if (service.reconnect_most_ms() != 0)
    settings.reconnect_max = std::chrono::milliseconds(service.reconnect_most_ms());
  settings.reconnect_first = std::min(settings.reconnect_first, settings.reconnect_max);
  if (service.silence_ms() != 0)
    settings.silence = std::chrono::milliseconds(service.silence_ms());
  settings.connect_timeout = std::min(settings.connect_timeout, settings.silence);
  return settings;
}

config_versions::Settings make_settings(const config::OperatorFile& file, std::uint64_t seed) {
  const config::pb::ControlService& service = file.gateway.control_service();
  config_versions::Settings settings;
  settings.stream = make_stream_settings(service);
  if (service.hold_ms() != 0)
    settings.dependency_timeout = std::chrono::milliseconds(service.hold_ms());
  settings.seed = seed;
  return settings;
}

config_versions::FileVersions make_file_versions(const config::OperatorFile& file) {
  return {xds::make_file_version(file.gateway.contracts()), xds::make_file_version(file.members),
          xds::make_file_version(file.gateway.limits())};
}

void log_snapshot_write(const std::optional<SnapshotError>& error) {
  if (error)
    net::log({"snapshot_write_failed", {{"error", error->message}}});
}

logging::Fields make_fields(const config_versions::ResponseIdentity& response) {
  logging::Fields fields;
  if (response.type)
    fields.emplace_back("type", config_versions::resource_type_name(*response.type));
  if (!response.version.empty())
    fields.emplace_back("version", response.version);
  if (!response.nonce.empty())
    fields.emplace_back("nonce", response.nonce);
  return fields;
}

}  // namespace

ControlPlaneClient::ControlPlaneClient(const config::OperatorFile& file, std::uint64_t seed,
                                       ApplyCallback apply)
    : site_(file.context), file_(file.gateway), seed_(seed), apply_(std::move(apply)),
      tracker_(make_settings(file, seed),
               [this](const config_versions::Bodies& bodies) {
                 return validate(bodies);
               }),
      channel_(*this), snapshot_writer_(&log_snapshot_write), timer_([this] {
        on_timer();
      }) {
  tracker_.set_file_versions(make_file_versions(file));
}

std::optional<ValidationError>
ControlPlaneClient::validate(const config_versions::Bodies& bodies) const {
  const auto fault = config::validate_group_references(
      xds::contracts_of(bodies[config_versions::index_of(ResourceType::Contracts)]),
      xds::members_of(bodies[config_versions::index_of(ResourceType::Members)]), site_);
  if (!fault)
    return std::nullopt;
  return ValidationError{fault->is_missing_reference ? ValidationError::Code::UnresolvedReference
                                                     : ValidationError::Code::InvalidContent,
                         fault->to_string()};
}

void ControlPlaneClient::start() {
  if (uses_snapshots())
    load_snapshot();
  tracker_.start(net::now(), actions_);
  execute_actions();
}

void ControlPlaneClient::stop() {
  stopped_ = true;
  timer_.stop();
  channel_.close();
}

std::optional<ValidationError> ControlPlaneClient::reload_file(const config::OperatorFile& file) {
  auto error = tracker_.replace_file_versions(net::now(), make_file_versions(file), actions_);
  if (!error) {
    file_ = file.gateway;
    tracker_.update_settings(net::now(), make_settings(file, seed_), actions_);
  }
  execute_actions();
  return error;
}

// ---- the snapshot

bool ControlPlaneClient::uses_snapshots() const {
  return file_.has_control_service() && !file_.state_folder().empty();
}

// A gateway that reaches no control service serves from the last good versions.
void ControlPlaneClient::load_snapshot() {
  const auto reject = [](const std::string& error) {
    net::log({"snapshot_rejected", {{"error", error}}});
  };
  const auto snapshot = snapshot_store::load_snapshot(file_.state_folder());
  if (!snapshot) {
    if (snapshot.error().code != SnapshotError::Code::NotFound)
      reject(snapshot.error().message);
    return;
  }
  auto versions = snapshot_store::validate_snapshot(snapshot.value(), site_);
  if (!versions)
    return reject(versions.error().message);
  if (const auto error = tracker_.restore_snapshot(std::move(versions.value())))
    return reject(error->message);
  net::log({"snapshot_restored", {{"versions", describe_pushed_versions()}}});
}

// "contracts version c3, limits version l1"
std::string ControlPlaneClient::describe_pushed_versions() const {
  std::string text;
  for (const ResourceType type : config_versions::kResourceTypes) {
    const config_versions::Version& running = tracker_.accepted(type).running;
    if (running.is_from_file())
      continue;
    if (!text.empty())
      text += ", ";
    text += config_versions::resource_type_name(type);
    text += " version " + running.version;
  }
  return text;
}

void ControlPlaneClient::write_snapshot() {
  if (!uses_snapshots())
    return;
  const state::v1::LastGood snapshot = snapshot_store::make_snapshot(tracker_);
  if (snapshot.contracts().held() || snapshot.members().held() || snapshot.limits().held())
    snapshot_writer_.write(file_.state_folder(), snapshot_store::encode_snapshot(snapshot));
}

// ---- events

void ControlPlaneClient::on_connected() {
  tracker_.on_stream_opened(net::now(), actions_);
  execute_actions();
}

void ControlPlaneClient::on_bytes_received() {
  tracker_.on_bytes_received(net::now());
}

void ControlPlaneClient::on_message(std::string_view bytes) {
  const auto response = xds::decode_response(bytes, site_);
  if (response) {
    tracker_.on_response(net::now(), response.value(), actions_);
  } else {
    channel_.close();
    tracker_.on_stream_lost(
        net::now(), {StreamError::Code::UnreadableMessage, "it sent a message that cannot be read"},
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

// ---- actions

// An action may cause new events at once; their actions are executed after those of this round.
void ControlPlaneClient::execute_actions() {
  if (executing_)
    return;
  executing_ = true;
  while (!actions_.empty()) {
    config_versions::Actions round;
    round.swap(actions_);
    for (const config_versions::Action& action : round) {
      if (stopped_)
        break;
      std::visit(
          [this](const auto& typed_action) {
            this->execute(typed_action);
          },
          action);
    }
  }
  executing_ = false;
  const TimePoint deadline = tracker_.next_deadline();
  if (!stopped_ && deadline != kNever)
    timer_.at(deadline);
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
  const config::pb::ControlService& service = file_.control_service();
  channel_.send_message(xds::encode_request(request, {service.node(), service.cluster()}));
}

void ControlPlaneClient::execute(const config_versions::ApplyConfiguration& action) {
  const auto& [contracts, members, limits] = action.bodies;
  const auto& [contracts_changed, members_changed, limits_changed] = action.changed;
  apply_(contracts_changed ? &xds::contracts_of(contracts) : nullptr,
         members_changed ? &xds::members_of(members) : nullptr,
         limits_changed ? &xds::limits_of(limits) : nullptr);
}

void ControlPlaneClient::execute(const config_versions::WriteSnapshot&) {
  write_snapshot();
}

// ---- log events

void ControlPlaneClient::execute(const config_versions::StreamLost& event) {
  net::log({"control_stream_lost", {{"address", tracker_.address()}, {"error", event.error}}});
}

void ControlPlaneClient::execute(const config_versions::StreamRestored&) {
  net::log({"control_stream_restored", {{"address", tracker_.address()}}});
}

void ControlPlaneClient::execute(const config_versions::VersionReceived& event) {
  net::log({"config_version_received", make_fields(event.response)});
}

void ControlPlaneClient::execute(const config_versions::VersionAccepted& event) {
  logging::Fields fields = make_fields(event.response);
  fields.emplace_back("detail", event.detail);
  net::log({"config_version_accepted", std::move(fields)});
}

void ControlPlaneClient::execute(const config_versions::VersionRejected& event) {
  logging::Fields fields = make_fields(event.response);
  fields.emplace_back("error", event.error);
  net::log({"config_version_rejected", std::move(fields)});
}

void ControlPlaneClient::execute(const config_versions::VersionPending& event) {
  logging::Fields fields = make_fields(event.response);
  fields.emplace_back("waiting_for", event.waiting_for);
  net::log({"config_version_pending", std::move(fields)});
}

}  // namespace gorsebeam::control_plane
