#include "file_error.h"

#include <exception>
#include <fstream>
#include <iterator>

namespace gorsebeam::settings {

std::string FileError::to_string() const {
  std::string text;
  if (file)
    text += *file + ": ";
  if (line > 0)
    text += "line " + std::to_string(line) + ": ";
  if (field)
    text += "field '" + *field + "': ";
  return text + message;
}

common::Result<std::string, FileError> read_text_file(const std::string& path,
                                                      const char* open_error) {
  std::ifstream file(path);
  if (!file)
    return FileError{path, 0, std::nullopt, open_error};
  // Reading throws if the path can be opened but not read, as with a folder.
  try {
    return std::string{std::istreambuf_iterator<char>(file), {}};
  } catch (const std::exception& error) {
    return FileError{path, 0, std::nullopt, std::string("cannot be read: ") + error.what()};
  }
}

}  // namespace gorsebeam::settings
