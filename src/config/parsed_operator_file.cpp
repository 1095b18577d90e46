#include "parsed_operator_file.h"

#include <google/protobuf/io/tokenizer.h>

#include <algorithm>

namespace gorsebeam::config {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::TextFormat;
using settings::FileError;

/// Keeps the first error that a parser reports.
class FirstErrorCollector : public google::protobuf::io::ErrorCollector {
public:
  void AddError(int line, int /*column*/, const std::string& message) override {
    if (!message_.empty())
      return;
    line_ = line;
    message_ = message;
  }

  /// The line of the error, counted from 1.
  [[nodiscard]] std::size_t line() const {
    return static_cast<std::size_t>(std::max(line_, 0)) + 1;
  }

  /// The message of the error; empty if the parser has reported none.
  [[nodiscard]] const std::string& message() const { return message_; }

private:
  int line_ = 0;
  std::string message_;
};

/// The last text in double quotes in the parser's message, usually a field name; "text" if there is
/// none.
std::string last_quoted_field(const std::string& message) {
  const std::size_t close = message.rfind('"');
  if (close == std::string::npos || close == 0)
    return close == 0 ? message.substr(1, std::string::npos) : "text";
  const std::size_t open = message.rfind('"', close - 1);
  if (open == std::string::npos)
    return "text";
  return message.substr(open + 1, close - open - 1);
}

}  // namespace

common::Result<ParsedOperatorFile, FileError> ParsedOperatorFile::parse(const std::string& path) {
  auto text = settings::read_text_file(path, "cannot be read; give the path of a readable file");
  if (!text)
    return text.error();
  ParsedOperatorFile file;
  file.path_ = path;
  file.text_ = std::move(text.value());
  TextFormat::Parser parser;
  FirstErrorCollector errors;
  parser.RecordErrorsTo(&errors);
  parser.WriteLocationsTo(file.locations_.get());
  if (parser.ParseFromString(file.text_, &file.gateway_))
    return file;
  const std::string reason = errors.message().empty() ? "cannot be read" : errors.message();
  return FileError{path, errors.line(), last_quoted_field(reason),
                   "does not match the schema: " + reason + "; see schema/gorsebeam/config/v1"};
}

FileError ParsedOperatorFile::locate(const ValidationError& error) const {
  const TextFormat::ParseInfoTree* tree = locations_.get();
  const Descriptor* type = pb::Gateway::GetDescriptor();
  int line = 0;
  for (const FieldStep& step : error.path) {
    const FieldDescriptor* field = type ? type->FindFieldByName(step.field) : nullptr;
    if (!tree || !field)
      break;
    const int index = field->is_repeated() ? std::max(step.index, 0) : -1;
    const auto location = tree->GetLocation(field, index);
    if (location.line >= 0)
      line = location.line;
    type = field->message_type();
    tree = type ? tree->GetTreeForNested(field, index) : nullptr;
  }
  const std::string field = error.path.empty() ? "file" : error.path.back().field;
  return {path_, static_cast<std::size_t>(line) + 1, field, error.message};
}

std::string ParsedOperatorFile::resolve_path(const std::string& name) const {
  const std::size_t slash = path_.rfind('/');
  if (name.empty() || name[0] == '/' || slash == std::string::npos)
    return name;
  return path_.substr(0, slash + 1) + name;
}

}  // namespace gorsebeam::config
