#include "control_plane_client.h"

#include "net/log.h"
#include "xds/xds.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::control_plane {
namespace {
constexpr Nanos kMs = 1'000'000;
}

config_versions::Settings Client::settings_of(const config::OperatorFile& file,
                                              std::uint64_t seed) {
  config_versions::Settings settings;
  const config::pb::ControlService& service = file.gateway.control_service();
  settings.addresses.assign(service.address().begin(), service.address().end());
  if (service.reconnect_most_ms())
    settings.reconnect_most = service.reconnect_most_ms() * kMs;
  settings.reconnect_first = std::min(settings.reconnect_first, settings.reconnect_most);
  if (service.silence_ms())
    settings.silence = service.silence_ms() * kMs;
  if (service.hold_ms())
    settings.hold = service.hold_ms() * kMs;
  settings.dial_most = std::min(settings.dial_most, settings.silence);
  settings.seed = seed;
  return settings;
}

Client::Client(const config::OperatorFile& file, std::uint64_t seed, Run run)
    : site_(file.context), file_(file.gateway), seed_(seed), run_(std::move(run)),
      machine_(
          settings_of(file, seed),
          [this](const config_versions::Bodies& bodies) -> std::optional<config_versions::Misfit> {
            const auto fault = config::validate_group_references(xds::contracts_of(bodies[0]),
                                                                 xds::members_of(bodies[1]), site_);
            if (!fault)
              return std::nullopt;
            return config_versions::Misfit{fault->to_string(), fault->is_missing_reference};
          }),
      channel_(*this), writer_([](const std::string& why) {
        if (!why.empty())
          net::log({"snapshot_write_failed", {{"error", why}}});
      }),
      timer_([this] {
        machine_.tick(net::now(), actions_);
        perform();
      }) {
  machine_.file_at_start(versions_of(file));
}

std::array<config_versions::Version, config_versions::kTypes>
Client::versions_of(const config::OperatorFile& file) const {
  return {xds::version_of(file.gateway.contracts()), xds::version_of(file.members),
          xds::version_of(file.gateway.limits())};
}

void Client::start() {
  if (file_.has_control_service() && !file_.state_folder().empty())
    load();
  machine_.begin(net::now(), actions_);
  perform();
}

// A gateway that finds no control service in sight serves from the last good version.
void Client::load() {
  std::string why;
  const auto good = snapshot_store::load(file_.state_folder(), why);
  if (good) {
    auto kept = snapshot_store::kept_of(*good, site_, why);
    if (kept)
      why = machine_.stored(std::move(*kept));
    if (why.empty()) {
      std::string text;
      for (const auto type : {config_versions::Type::Contracts, config_versions::Type::Members,
                              config_versions::Type::Limits})
        if (machine_.kept(type).running.source != "file")
          text += std::string(text.empty() ? "" : ", ") + config_versions::name_of(type) +
                  " version " + machine_.kept(type).running.version;
      return net::log({"snapshot_restored", {{"versions", text}}});
    }
  }
  if (!why.empty())
    net::log({"snapshot_rejected", {{"error", why}}});
}

void Client::stop() {
  stopped_ = true;
  timer_.stop();
  channel_.close();
}

std::string Client::follow(const config::OperatorFile& file) {
  std::string why = machine_.file(net::now(), versions_of(file), actions_);
  if (why.empty()) {
    file_ = file.gateway;
    machine_.follow(net::now(), settings_of(file, seed_), actions_);
  }
  perform();
  return why;
}

void Client::store() {
  if (!file_.has_control_service() || file_.state_folder().empty())
    return;
  const state::v1::LastGood good = snapshot_store::good_of(machine_);
  if (good.contracts().held() || good.members().held() || good.limits().held())
    writer_.save(file_.state_folder(), snapshot_store::packed(good));
}

void Client::up() {
  machine_.connected(net::now(), actions_);
  perform();
}

void Client::heard() {
  machine_.heard(net::now());
}

void Client::message(std::string_view bytes) {
  const auto offer = xds::read_response(bytes, site_);
  if (offer) {
    machine_.offered(net::now(), *offer, actions_);
  } else {
    channel_.close();
    machine_.lost(net::now(), "it sent a message that cannot be read", actions_);
  }
  perform();
}

void Client::down(const std::string& why) {
  machine_.lost(net::now(), why, actions_);
  perform();
}

void Client::note(const config_versions::Note& note) {
  logging::Fields fields;
  if (note.type)
    fields.emplace_back("type", config_versions::name_of(*note.type));
  if (!note.version.empty())
    fields.emplace_back("version", note.version);
  if (!note.nonce.empty())
    fields.emplace_back("nonce", note.nonce);
  switch (note.kind) {
  case config_versions::Note::Kind::Lost:
    fields.emplace_back("address", machine_.address());
    fields.emplace_back("error", note.text);
    return net::log({"control_stream_lost", fields});
  case config_versions::Note::Kind::Found:
    fields.emplace_back("address", machine_.address());
    return net::log({"control_stream_restored", fields});
  case config_versions::Note::Kind::Offered:
    return net::log({"config_version_received", fields});
  case config_versions::Note::Kind::Accepted:
    if (!note.text.empty())
      fields.emplace_back("detail", note.text);
    return net::log({"config_version_accepted", fields});
  case config_versions::Note::Kind::TurnedDown:
    fields.emplace_back("error", note.text);
    return net::log({"config_version_rejected", fields});
  case config_versions::Note::Kind::Held:
    fields.emplace_back("waiting_for", note.text);
    return net::log({"config_version_pending", fields});
  }
}

// What the machine asks for may bring it new events at once; they are taken in turn.
void Client::perform() {
  if (performing_)
    return;
  performing_ = true;
  while (!actions_.empty()) {
    config_versions::Actions actions;
    actions.swap(actions_);
    for (const config_versions::Action& action : actions) {
      if (stopped_)
        break;
      if (const auto* dial = std::get_if<config_versions::Dial>(&action)) {
        if (!channel_.dial(dial->address, xds::kPath))
          machine_.lost(net::now(), "no connection can be opened", actions_);
      } else if (std::holds_alternative<config_versions::HangUp>(action)) {
        channel_.close();
      } else if (std::holds_alternative<config_versions::Ping>(action)) {
        channel_.ping();
      } else if (const auto* ask = std::get_if<config_versions::Ask>(&action)) {
        channel_.send(
            xds::request(*ask, file_.control_service().node(), file_.control_service().cluster()));
      } else if (const auto* run = std::get_if<config_versions::Run>(&action)) {
        run_(run->changed[0] ? &xds::contracts_of(run->bodies[0]) : nullptr,
             run->changed[1] ? &xds::members_of(run->bodies[1]) : nullptr,
             run->changed[2] ? &xds::limits_of(run->bodies[2]) : nullptr);
      } else if (std::holds_alternative<config_versions::Store>(action)) {
        store();
      } else if (const auto* text = std::get_if<config_versions::Note>(&action)) {
        note(*text);
      }
    }
  }
  performing_ = false;
  const Nanos due = machine_.due();
  if (!stopped_ && due != config_versions::Machine::kNever)
    timer_.at(due);
}

}  // namespace gorsebeam::control_plane
