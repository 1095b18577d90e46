/// Rewrites a client's statement for an endpoint. Does no I/O and reads no clock.
#pragma once

#include "statement_request.h"

#include "proxy/interfaces.h"

#include <string>
#include <string_view>

namespace gorsebeam::postgres {

class StatementRewriter {
public:
  /// Returns the statement in `text` for an endpoint that must finish it within `time_left`: only
  /// the deadline is replaced. The parts point into `text` and into this object; the latter are
  /// valid until the next call.
  proxy::ByteSpans rewrite(std::string_view text, const DeadlineField& deadline,
                           Duration time_left);

private:
  std::string deadline_text_;
};

}  // namespace gorsebeam::postgres
