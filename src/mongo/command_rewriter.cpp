#include "command_rewriter.h"

#include "wire/parts.h"

#include <algorithm>

namespace gorsebeam::mongo {
namespace {

constexpr std::size_t kFlagsSize = 4;
constexpr std::size_t kBodyHeaderSize = 5;  // kind of the section, length field of the document

bool is_adjacent(std::string_view first, std::string_view second) {
  return first.data() + first.size() == second.data();
}

bool is_replaced(std::string_view name, CommandKind kind) {
  return name == "maxTimeMS" || (kind == CommandKind::Read && name == "$readPreference");
}

/// Returns the elements of a command that are forwarded unchanged. Adjacent elements share a
/// part.
proxy::ByteSpans unchanged_elements(std::string_view command, CommandKind kind) {
  proxy::ByteSpans parts;
  Reader reader(command);
  while (const std::optional<Element> element = reader.next()) {
    if (is_replaced(element->name, kind))
      continue;
    if (!parts.empty() && is_adjacent(parts.back(), element->encoded))
      parts.back() = {parts.back().data(), parts.back().size() + element->encoded.size()};
    else
      parts.push_back(element->encoded);
  }
  return parts;
}

/// Returns the elements that take the place of the removed ones, after the unchanged elements.
Writer replacement_elements(CommandKind kind, Duration time_left) {
  Writer replacements;
  replacements.append_int64("maxTimeMS", std::max<Duration::rep>(time_left / 1ms, 1));
  if (kind == CommandKind::Read) {
    const std::string preference = Writer().append_string("mode", "primaryPreferred").finish();
    replacements.append_document("$readPreference", preference);
  }
  return replacements;
}

}  // namespace

proxy::ByteSpans CommandRewriter::rewrite(const OpMsg& message, CommandKind kind,
                                          Duration time_left) {
  const proxy::ByteSpans unchanged = unchanged_elements(message.body, kind);
  const Writer replacements = replacement_elements(kind, time_left);
  const std::size_t document_size =
      kMinDocumentSize + wire::total_size(unchanged) + replacements.elements().size();
  const std::string flags = encode_u32(0);
  const std::string body_header = '\0' + encode_u32(static_cast<std::uint32_t>(document_size));
  buffer_ = flags + body_header + replacements.elements() + '\0';
  const std::string_view buffer = buffer_;
  proxy::ByteSpans parts{buffer.substr(0, kFlagsSize), message.sections_before,
                         buffer.substr(kFlagsSize, kBodyHeaderSize)};
  parts.insert(parts.end(), unchanged.begin(), unchanged.end());
  parts.push_back(buffer.substr(kFlagsSize + kBodyHeaderSize));
  parts.push_back(message.sections_after);
  return parts;
}

}  // namespace gorsebeam::mongo
