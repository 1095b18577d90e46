/// Text files that the program reads, and checks of its messages about them.
#pragma once

#include <gtest/gtest.h>

#include <fstream>
#include <string>

namespace test_harness {

/// Writes `text` to `folder`/`name` and returns the path.
inline std::string write_text_file(const std::string& folder, const std::string& name,
                                   const std::string& text) {
  std::ofstream(folder + "/" + name) << text;
  return folder + "/" + name;
}

/// Asserts that `output` is a single line.
inline void expect_single_line(const std::string& output) {
  ASSERT_EQ(output.find('\n'), output.size() - 1) << output;
}

}  // namespace test_harness
