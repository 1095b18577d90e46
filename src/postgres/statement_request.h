/// Parses the statement of a PostgreSQL client into a request. Does no I/O and reads no clock.
#pragma once

#include "codec.h"

#include "common/result.h"
#include "frontend/parsed_request.h"
#include "sql_classifier/sql_classifier.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace gorsebeam::postgres {

/// The place of the deadline in the text of a statement, in bytes.
struct DeadlineField {
  std::size_t offset = 0;
  std::size_t size = 0;
};

struct StatementRequest {
  frontend::ParsedRequest parsed;
  DeadlineField deadline;
};

/// Parses the statement in `text` into a request, or returns why the statement is rejected. If
/// `classifier` is not null, a statement that is not known to only read is rejected if its request
/// class reads.
common::Result<StatementRequest, SqlError>
parse_request(std::string_view text, const frontend::RequestClasses& classes,
              const sql_classifier::SqlClassifier* classifier);

}  // namespace gorsebeam::postgres
