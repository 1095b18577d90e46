/// What is wrong with a file, for the person who writes it.
#pragma once

#include "common/result.h"

#include <cstddef>
#include <optional>
#include <string>

namespace gorsebeam::settings {

/// An error in a file. Lines count from 1.
struct FileError {
  std::optional<std::string> file;   ///< path as it was given; absent where the system names none
  std::size_t line = 0;              ///< 0 where the error concerns no single line
  std::optional<std::string> field;  ///< absent where the error concerns no single field
  std::string message;               ///< what is wrong, with the remedy where there is one

  /// "FILE: line LINE: field 'FIELD': MESSAGE", without the parts that are not set.
  [[nodiscard]] std::string to_string() const;
};

/// The whole text of a file. `open_error` is the message for a file that cannot be opened.
[[nodiscard]] common::Result<std::string, FileError> read_text_file(const std::string& path,
                                                                    const char* open_error);

}  // namespace gorsebeam::settings
