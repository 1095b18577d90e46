/// The text of an operators' file and the message that it holds, before validation.
#pragma once

#include "common/result.h"
#include "settings/file_error.h"
#include "validation.h"

#include <google/protobuf/text_format.h>

#include <memory>
#include <string>

namespace gorsebeam::config {

/// A file that matches the schema, with the location of each field in the text.
class ParsedOperatorFile {
public:
  /// Reads and parses the file. An error has the line and the field that the parser reports.
  [[nodiscard]] static common::Result<ParsedOperatorFile, settings::FileError>
  parse(const std::string& path);

  /// Converts `error`, whose path starts at the gateway message, to an error with a line: that of
  /// the deepest field on the path that is in the file.
  [[nodiscard]] settings::FileError locate(const ValidationError& error) const;

  /// Resolves the path `name`; a relative path is relative to the file's folder.
  [[nodiscard]] std::string resolve_path(const std::string& name) const;

  [[nodiscard]] const std::string& text() const { return text_; }

  [[nodiscard]] const pb::Gateway& gateway() const { return gateway_; }

private:
  ParsedOperatorFile() = default;

  std::string path_;
  std::string text_;
  pb::Gateway gateway_;
  std::unique_ptr<google::protobuf::TextFormat::ParseInfoTree> locations_ =
      std::make_unique<google::protobuf::TextFormat::ParseInfoTree>();
};

}  // namespace gorsebeam::config
