#include "statement_rewriter.h"

#include <algorithm>

namespace gorsebeam::postgres {
namespace {

constexpr Nanos kMillisecond = 1'000'000;

}  // namespace

proxy::Parts StatementRewriter::rewrite(std::string_view text, const DeadlineField& deadline,
                                        Nanos time_left) {
  remaining_ms_ = std::to_string(std::max<Nanos>(time_left / kMillisecond, 1));
  return {text.substr(0, deadline.offset), remaining_ms_,
          text.substr(deadline.offset + deadline.size)};
}

}  // namespace gorsebeam::postgres
