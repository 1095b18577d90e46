#include "log_records.h"

#include <utility>

namespace gorsebeam::control_plane {
namespace {

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

logging::LogRecord make_record(const char* event, const config_versions::ResponseIdentity& response,
                               const char* field, const std::string& value) {
  logging::Fields fields = make_fields(response);
  fields.emplace_back(field, value);
  return {event, std::move(fields)};
}

}  // namespace

logging::LogRecord to_record(const config_versions::StreamLost& event, const std::string& address) {
  return {"control_stream_lost", {{"address", address}, {"error", event.error}}};
}

logging::LogRecord to_record(const config_versions::StreamRestored&, const std::string& address) {
  return {"control_stream_restored", {{"address", address}}};
}

logging::LogRecord to_record(const config_versions::VersionReceived& event) {
  return {"config_version_received", make_fields(event.response)};
}

logging::LogRecord to_record(const config_versions::VersionAccepted& event) {
  return make_record("config_version_accepted", event.response, "detail", event.detail);
}

logging::LogRecord to_record(const config_versions::VersionRejected& event) {
  return make_record("config_version_rejected", event.response, "error", event.error);
}

logging::LogRecord to_record(const config_versions::VersionPending& event) {
  return make_record("config_version_pending", event.response, "waiting_for", event.waiting_for);
}

}  // namespace gorsebeam::control_plane
