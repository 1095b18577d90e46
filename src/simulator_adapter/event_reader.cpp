#include "event_reader.h"

#include <cmath>
#include <cstdint>
#include <optional>
#include <utility>

namespace gorsebeam::simulator_adapter {
namespace {

using settings::DeploymentProfile;
using settings::Json;
using settings::JsonObjectReader;

constexpr double kNanosPerMillisecond = 1e6;
constexpr double kNanosPerSecond = 1e9;

AttemptStatus read_status(const JsonObjectReader& body) {
  return body.read_enum<AttemptStatus>("code", {{"GOOD", AttemptStatus::Ok},
                                                {"BAD", AttemptStatus::Error},
                                                {"FULL", AttemptStatus::Rejected},
                                                {"LATE", AttemptStatus::Timeout},
                                                {"NOCONN", AttemptStatus::ConnectFailed},
                                                {"RST", AttemptStatus::Reset},
                                                {"CXL", AttemptStatus::Cancelled},
                                                {"NOP", AttemptStatus::NotSent},
                                                {"MISS", AttemptStatus::Misdirected}});
}

std::optional<double> read_report_value(const Json& report, const char* name) {
  const auto field = report.FindMember(name);
  if (field == report.MemberEnd() || field->value.IsNull())
    return std::nullopt;
  if (!field->value.IsNumber())
    throw ProtocolError(std::string("the field '") + name + "' of 'report' must be a number");
  return field->value.GetDouble();
}

/// Reads the load report in `body`, if there is one. It holds the replication position in seconds
/// after `epoch` as x0 and whether the endpoint is the primary, 1 or 0, as x1.
LoadReport read_load_report(const JsonObjectReader& body, ReplicationPosition epoch) {
  LoadReport result;
  const Json* report = body.find("report");
  if (!report)
    return result;
  if (!report->IsObject())
    throw ProtocolError("the field 'report' must be an object");
  if (const auto position = read_report_value(*report, "x0"))
    result.replication_position = epoch + to_duration(std::floor(*position * kNanosPerSecond));
  if (const auto primary = read_report_value(*report, "x1"))
    result.is_primary = *primary > 0.5;
  return result;
}

/// Reads the field 'mark', which holds the endpoint's role in its lowest two bits and its
/// replication position in milliseconds after `epoch` in the higher bits. A value of 0 stands for
/// unknown.
void read_role_and_position(const JsonObjectReader& body, ReplicationPosition epoch,
                            AttemptResult& result) {
  constexpr std::int64_t kRoleValueCount = 4;
  constexpr std::int64_t kPrimary = 1;
  constexpr std::int64_t kReplica = 2;
  const std::int64_t mark = body.read_integer("mark", 0);
  if (mark <= 0)
    return;
  const std::int64_t role = mark % kRoleValueCount;
  if (role == kPrimary)
    result.role = Role::Primary;
  else if (role == kReplica)
    result.role = Role::Replica;
  else
    result.role = Role::Unknown;
  const std::int64_t position_ms = mark / kRoleValueCount;
  if (position_ms > 0)
    result.replication_position = epoch + std::chrono::milliseconds(position_ms);
}

EndpointList read_endpoint_list(const JsonObjectReader& body, const EndpointBuffers& buffers) {
  EndpointList list;
  list.kind = body.read_enum<EndpointList::Kind>("kind", {{"disk", EndpointList::Kind::Cached},
                                                          {"snapshot", EndpointList::Kind::Full},
                                                          {"diff", EndpointList::Kind::Delta},
                                                          {"error", EndpointList::Kind::Failed}});
  if (list.kind != EndpointList::Kind::Failed)
    list.endpoints = buffers[read_buffer_index(body)];
  return list;
}

Request read_request(TimePoint now, const JsonObjectReader& body,
                     const DeploymentProfile& profile) {
  Request request;
  request.id = body.read_string("op_id");
  const auto request_class = profile.class_indexes.find(body.read_string("tier_class"));
  if (request_class == profile.class_indexes.end())
    body.throw_invalid("tier_class", "the name of a class in the settings, but is '" +
                                         body.read_string("tier_class") + "'");
  request.class_index = request_class->second;
  const Json* realm = body.find("realm");
  if (realm && realm->IsString()) {
    const auto tenant = profile.tenant_indexes.find(settings::string_value(*realm));
    if (tenant != profile.tenant_indexes.end())
      request.tenant = tenant->second;
  }
  if (body.find("session"))
    request.session = static_cast<std::uint64_t>(body.read_integer("session"));
  request.deadline = TimePoint(Duration(body.read_integer("valid_until")));
  request.group = body.read_uint32("partition_no");
  // The simulator's 0 stands for a session without a write.
  const double token_age_ms = body.read_number("token_ms", 0);
  if (token_age_ms > 0)
    request.session_token = position_at(now - to_duration(token_age_ms * kNanosPerMillisecond));
  request.is_client_retry = body.read_bool("repeat");
  return request;
}

AttemptResult read_attempt_result(const JsonObjectReader& body, ReplicationPosition epoch) {
  AttemptResult result;
  result.request_id = body.read_string("op_id");
  result.attempt = static_cast<std::uint32_t>(body.read_integer("try", 0));
  result.endpoint = body.read_uint32("node");
  result.status = read_status(body);
  result.request_finished = body.read_bool("closed");
  result.elapsed = Duration(body.read_integer("delay_seen", 0));
  read_role_and_position(body, epoch, result);
  result.load_report = read_load_report(body, epoch);
  return result;
}

HealthCheckResult read_health_check_result(const JsonObjectReader& body,
                                           ReplicationPosition epoch) {
  HealthCheckResult result;
  result.endpoint = body.read_uint32("node");
  result.succeeded = read_status(body) == AttemptStatus::Ok;
  result.elapsed = Duration(body.read_integer("delay_seen", 0));
  result.load_report = read_load_report(body, epoch);
  return result;
}

Endpoint read_endpoint(const JsonObjectReader& entry) {
  Endpoint endpoint;
  endpoint.id = entry.read_uint32("node");
  endpoint.group = entry.read_uint32("cluster");
  endpoint.zone = entry.read_string("campus", "");
  endpoint.status = entry.read_enum<EndpointStatus>("mode", {{"up", EndpointStatus::Up},
                                                             {"draining", EndpointStatus::Draining},
                                                             {"removed", EndpointStatus::Removed}});
  endpoint.started_at = TimePoint(Duration(entry.read_integer("started_at", 0)));
  endpoint.listed_as_primary = entry.read_integer("primary", 0) == 1;
  endpoint.weight = entry.read_number("size", 1);
  return endpoint;
}

}  // namespace

std::size_t read_buffer_index(const JsonObjectReader& body) {
  constexpr std::int64_t kMaxIndex = std::tuple_size_v<EndpointBuffers> - 1;
  const std::int64_t index = body.read_integer("buffer");
  if (index < 0 || index > kMaxIndex)
    body.throw_invalid("buffer", "from 0 to " + std::to_string(kMaxIndex) + ", but is " +
                                     std::to_string(index));
  return static_cast<std::size_t>(index);
}

std::vector<Endpoint> read_endpoints(const JsonObjectReader& body) {
  std::vector<Endpoint> endpoints;
  for (const Json& element : body.require_array("elements").GetArray())
    endpoints.push_back(read_endpoint(JsonObjectReader(element, "SHEET.elements")));
  return endpoints;
}

Event read_event(TimePoint now, const std::string& name, const JsonObjectReader& body,
                 const DeploymentProfile& profile, const EndpointBuffers& buffers) {
  if (name == "VIEW")
    return read_endpoint_list(body, buffers);
  if (name == "ORDER")
    return read_request(now, body, profile);
  if (name == "OUTCOME")
    return read_attempt_result(body, profile.replication_epoch);
  if (name == "STATUS_BACK")
    return read_health_check_result(body, profile.replication_epoch);
  if (name == "TICK_DUE")
    return TimerExpired{};
  if (name == "VANISHED")
    return ClientDisconnected{body.read_string("op_id")};
  throw ProtocolError("unknown event '" + name + "'");
}

}  // namespace gorsebeam::simulator_adapter
