#include "command_comment.h"

#include <algorithm>

namespace gorsebeam::mongo {
namespace {

void set_field(std::string_view name, const std::string& value, CommandComment& comment) {
  if (name == "id")
    comment.id = value;
  if (name == "c")
    comment.service_class = value;
  if (name == "k")
    comment.idempotency = value;
  if (name == "cluster")
    comment.group = value;
}

void read_document(std::string_view document, CommandComment& comment) {
  Reader reader(document);
  while (const std::optional<Element> element = reader.next())
    set_field(element->name, scalar_text(*element), comment);
}

void read_text(std::string_view text, CommandComment& comment) {
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos)
      set_field(pair.substr(0, equals), std::string(pair.substr(equals + 1)), comment);
  }
}

}  // namespace

std::string scalar_text(const Element& element) {
  if (element.type == ElementType::String)
    return std::string(element.value);
  const auto number = to_integer(element);
  return number ? std::to_string(*number) : "";
}

CommandComment read_comment(std::string_view command) {
  CommandComment comment;
  const auto element = find(command, "comment");
  if (element && element->type == ElementType::Document)
    read_document(element->value, comment);
  if (element && element->type == ElementType::String)
    read_text(element->value, comment);
  return comment;
}

}  // namespace gorsebeam::mongo
