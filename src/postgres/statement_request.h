/// Parses the statement of a PostgreSQL client into a request. Pure.
#pragma once

#include "codec.h"

#include "common/result.h"
#include "frontend/parsed_request.h"
#include "sql_classifier/sql_classifier.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace gorsebeam::postgres {

/// The position of the deadline in the text of a statement.
struct DeadlineField {
  std::size_t offset = 0;
  std::size_t size = 0;
};

struct StatementRequest {
  frontend::ParsedRequest parsed;
  DeadlineField deadline;
  std::optional<TimePoint> last_write_at;  ///< The session's last commit, as the client reports it.
};

/// Reads the request that the statement in `text` makes, or why the statement is rejected. While
/// `classifier` is not null, a statement that is not known to read only is rejected under a class
/// that reads.
common::Result<StatementRequest, SqlError>
parse_request(std::string_view text, const frontend::RequestClasses& classes,
              const sql_classifier::SqlClassifier* classifier);

}  // namespace gorsebeam::postgres
