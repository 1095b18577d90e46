/// Settings that the router's unit tests and the soak share. The times differ between them, so the
/// caller sets the times.
#pragma once

#include "gorsebeam/settings.h"

namespace gorsebeam::test_support {

/// A class whose requests are deduplicated by their group. Its times are unset.
inline RequestClass make_request_class(const char* name, ConsistencyLevel consistency,
                                       Idempotency idempotency) {
  RequestClass request_class;
  request_class.name = name;
  request_class.consistency = consistency;
  request_class.idempotency = idempotency;
  request_class.deduplication_scope = DeduplicationScope::Group;
  return request_class;
}

/// Settings with load reports that contain positions and roles, up to four attempts of a request,
/// and overload and slow-start factors. Classes and times are unset.
inline Settings make_settings(LoadReportSource load_report_source) {
  Settings settings;
  settings.load_report_source = load_report_source;
  settings.load_reports_contain_positions = true;
  settings.load_reports_contain_roles = true;
  settings.max_attempts = 4;
  settings.slow_start_initial_capacity = 0.2;
  settings.overload_factor = 2;
  return settings;
}

}  // namespace gorsebeam::test_support
