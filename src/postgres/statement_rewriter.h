/// Rewrites a client's statement for an endpoint. Pure.
#pragma once

#include "statement_request.h"

#include "proxy/interfaces.h"

#include <string>
#include <string_view>

namespace gorsebeam::postgres {

class StatementRewriter {
public:
  /// The statement in `text` for an endpoint that is to finish within `time_left`: only its
  /// deadline is replaced. The parts borrow from `text` and, until the next call, from this object.
  proxy::ByteSpans rewrite(std::string_view text, const DeadlineField& deadline,
                           Duration time_left);

private:
  std::string deadline_text_;
};

}  // namespace gorsebeam::postgres
