#include "session.h"

#include "action_writer.h"

#include <rapidjson/error/en.h>

#include <utility>

namespace gorsebeam::simulator_adapter {

using settings::JsonObjectReader;

namespace {

/// Parses a message: an object whose only key is the message's name.
rapidjson::Document parse_message(const std::string& text) {
  rapidjson::Document document;
  document.Parse(text.data(), text.size());
  if (document.HasParseError())
    throw ProtocolError(
        "not JSON: " + std::string(rapidjson::GetParseError_En(document.GetParseError())) +
        " (byte " + std::to_string(document.GetErrorOffset()) + ")");
  if (!document.IsObject() || document.MemberCount() != 1)
    throw ProtocolError("a message must be an object whose only key is the message's name");
  return document;
}

std::uint64_t read_seed(const JsonObjectReader& body) {
  const settings::Json& seed = body.require("init_seed");
  if (seed.IsUint64())
    return seed.GetUint64();
  return static_cast<std::uint64_t>(body.read_integer("init_seed"));
}

}  // namespace

void Session::handle_line(const std::string& text, std::string& reply) {
  const rapidjson::Document document = parse_message(text);
  const auto& message = *document.MemberBegin();
  const std::string name = settings::string_value(message.name);
  const JsonObjectReader body(message.value, name);
  if (name == "TURN")
    return begin_batch(body);
  if (!is_inside_batch_)
    throw ProtocolError(name + " outside a batch");
  if (name == "END") {
    is_inside_batch_ = false;
    reply += "{\"READY\":{}}\n";
    return;
  }
  handle_message(name, body, reply);
}

void Session::begin_batch(const JsonObjectReader& body) {
  if (is_inside_batch_)
    throw ProtocolError("TURN inside a batch");
  const TimePoint now(Duration(body.read_integer("time")));
  if (now < now_)
    throw ProtocolError("TURN: the time " + std::to_string(now.time_since_epoch().count()) +
                        " ns is before the previous batch's time of " +
                        std::to_string(now_.time_since_epoch().count()) + " ns");
  now_ = now;
  is_inside_batch_ = true;
}

void Session::handle_message(const std::string& name, const JsonObjectReader& body,
                             std::string& reply) {
  if (name == "NEW_INSTANCE")
    return start_router(body);
  if (name == "SHEET") {
    const std::size_t index = read_buffer_index(body);
    endpoint_buffers_[index] = read_endpoints(body);
    return;
  }
  handle_router_message(name, body, reply);
}

void Session::start_router(const JsonObjectReader& body) {
  const std::int64_t router_id = body.read_integer("router_id");
  const std::uint64_t seed = read_seed(body);
  settings::DeploymentProfile profile =
      settings::read_deployment_profile(body.require_object("profile_data"));
  instances_.erase(router_id);
  Router router(profile.settings, seed);
  instances_.emplace(router_id, RouterInstance{std::move(router), std::move(profile)});
}

void Session::handle_router_message(const std::string& name, const JsonObjectReader& body,
                                    std::string& reply) {
  const std::int64_t router_id = body.read_integer("router_id");
  const auto found = instances_.find(router_id);
  if (found == instances_.end())
    throw ProtocolError(name + " for router " + std::to_string(router_id) +
                        ", which was never started or has ended");
  if (name == "DOWN") {
    instances_.erase(found);
    return;
  }
  // The adapter uses neither messages between routers nor streams, so it ignores these.
  if (name == "INBOX" || name == "BEGUN")
    return;
  RouterInstance& instance = found->second;
  const Event event = read_event(now_, name, body, instance.profile, endpoint_buffers_);
  actions_.clear();
  instance.router.handle(now_, event, actions_);
  write_actions(actions_, router_id, reply);
}

}  // namespace gorsebeam::simulator_adapter
