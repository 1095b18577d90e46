#include "statement_rewriter.h"

#include <algorithm>

namespace gorsebeam::postgres {

proxy::ByteSpans StatementRewriter::rewrite(std::string_view text, const DeadlineField& deadline,
                                            Duration time_left) {
  deadline_text_ = std::to_string(std::max<Duration::rep>(time_left / 1ms, 1));
  return {text.substr(0, deadline.offset), deadline_text_,
          text.substr(deadline.offset + deadline.size)};
}

}  // namespace gorsebeam::postgres
