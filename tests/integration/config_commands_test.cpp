// The `config` sub-commands, which check, format, compare and show operators' files.
#include "test_harness.h"
#include "text_file.h"

#include <gtest/gtest.h>

using namespace test_harness;

namespace {

std::string format_file(const std::string& path) {
  std::string output;
  const int exit_code = run_program({"config", "fmt", path}, output);
  require(exit_code == 0,
          "config fmt " + path + " exits with " + std::to_string(exit_code) + ": " + output);
  return output;
}

// `config diff` compares content and not text, and `config fmt` does not change the content.
TEST(ConfigCommands, FormatAndCompareFilesByContent) {
  const std::string folder = make_temporary_folder();
  const std::string original = write_text_file(
      folder, "old.textproto",
      "# kept\ncontracts: < team { name: 'a' group: [2, 1] class { name: 'x' } class { name: "
      "'y'; tries: 3 } budget { per_second: 300 } },\n team { name: 'b' class { name: 'x' } } >");
  std::string output;
  ASSERT_EQ(run_program({"config", "check", original}, output), 0) << output;

  const std::string formatted = format_file(original);
  const std::string copy = write_text_file(folder, "copy.textproto", formatted);
  ASSERT_EQ(formatted.find("# kept\n"), 0U) << formatted;
  expect_contains(formatted, "    budget {\n      per_second: 300\n    }\n");
  ASSERT_EQ(format_file(copy), formatted);
  ASSERT_EQ(run_program({"config", "diff", original, copy}, output), 0);
  ASSERT_EQ(output, "");

  const std::string changed = write_text_file(
      folder, "changed.textproto",
      "contracts { team { name: 'b' class { name: 'x' } } team { name: 'a' class { name: 'y' "
      "tries: 4 } class { name: 'x' } group: 1 group: 2 budget { per_second: 200 } } "
      "team { name: 'c' class { name: 'x' } } }");
  ASSERT_EQ(run_program({"config", "diff", original, changed}, output), 1);
  ASSERT_EQ(output, "contracts team 'a'.budget.per_second: 300 -> 200\n"
                    "contracts team 'a' class 'y'.tries: 3 -> 4\n"
                    "contracts team 'c': added\n");
  ASSERT_EQ(run_program({"config", "diff", original, folder + "/none"}, output), 2) << output;
  ASSERT_EQ(run_program({"config", "show", "--state", folder}, output), 2) << output;
}

}  // namespace
