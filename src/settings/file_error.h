/// An error in a configuration file, with its place in the file.
#pragma once

#include "common/result.h"

#include <cstddef>
#include <optional>
#include <string>

namespace gorsebeam::settings {

/// An error in a file, as an operator reads it.
struct FileError {
  std::optional<std::string> file;  ///< Path as it was given; absent if the error concerns no file.
  std::size_t line = 0;             ///< From 1; 0 if the error concerns no single line.
  std::optional<std::string> field;  ///< Absent if the error concerns no single field.
  std::string message;               ///< What is wrong and, where possible, how to correct it.

  /// "FILE: line LINE: field 'FIELD': MESSAGE", without the parts that are not set.
  [[nodiscard]] std::string to_string() const;
};

/// Returns the whole text of a file. `open_error` is the error message if the file cannot be
/// opened.
[[nodiscard]] common::Result<std::string, FileError> read_text_file(const std::string& path,
                                                                    const char* open_error);

}  // namespace gorsebeam::settings
