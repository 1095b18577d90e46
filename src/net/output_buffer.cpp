#include "output_buffer.h"

#include "input_buffer.h"

#include <algorithm>

namespace gorsebeam::net {

void OutputBuffer::append_unsent(const ByteSpans& spans, std::size_t sent) {
  for (const std::string_view span : spans) {
    const std::size_t skipped = std::min(sent, span.size());
    sent -= skipped;
    bytes_.append(span.substr(skipped));
    count_buffered(span.size() - skipped, 0);
  }
}

void OutputBuffer::release() {
  sent_size_ = 0;
  count_buffered(0, bytes_.size());
  std::string().swap(bytes_);
}

}  // namespace gorsebeam::net
