#include "command_comment.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace gorsebeam::mongo {
namespace {

void set_field(CommandComment& comment, std::string_view name, std::string value) {
  if (name == "id")
    comment.id = std::move(value);
  else if (name == "c")
    comment.service_class = std::move(value);
  else if (name == "k")
    comment.idempotency_key = std::move(value);
  else if (name == "cluster")
    comment.group = std::move(value);
}

CommandComment read_document_comment(std::string_view document) {
  CommandComment comment;
  Reader reader(document);
  while (const std::optional<Element> element = reader.next())
    set_field(comment, element->name, to_text(*element));
  return comment;
}

CommandComment read_text_comment(std::string_view text) {
  CommandComment comment;
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos)
      set_field(comment, pair.substr(0, equals), std::string(pair.substr(equals + 1)));
  }
  return comment;
}

}  // namespace

CommandComment read_comment(std::string_view command) {
  const std::optional<Element> element = find(command, "comment");
  if (element && element->type == ElementType::Document)
    return read_document_comment(element->value);
  if (element && element->type == ElementType::String)
    return read_text_comment(element->value);
  return {};
}

}  // namespace gorsebeam::mongo
