/// The text of an operators' file and the message that it holds, before validation.
#pragma once

#include "common/result.h"
#include "settings/file_error.h"
#include "validation.h"

#include <google/protobuf/text_format.h>

#include <memory>
#include <string>

namespace gorsebeam::config {

/// A file that parses by the schema, with the place of each field in it.
class ParsedOperatorFile {
public:
  [[nodiscard]] static common::Result<ParsedOperatorFile, settings::FileError>
  parse(const std::string& path);

  /// The error with the line where the last step of its path that is in the file stands.
  /// `error.path` starts at the gateway message.
  [[nodiscard]] settings::FileError locate(const ValidationError& error) const;

  /// `name` as a path, where relative names are relative to the file's folder.
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
