/// Inventories of both formats: the endpoints that they list, and the line and field of errors.
#include "inventory/inventory.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <utility>

namespace {

using gorsebeam::EndpointStatus;
using gorsebeam::inventory::InventoryResult;
using gorsebeam::inventory::read_inventory;
using gorsebeam::settings::FileError;

/// Reads `text` as the content of a file whose name ends in `extension`.
InventoryResult read_text(const std::string& text, const std::string& extension) {
  const std::string test = testing::UnitTest::GetInstance()->current_test_info()->name();
  const std::string path = testing::TempDir() + test + extension;
  std::ofstream(path) << text;
  InventoryResult result = read_inventory(path);
  std::remove(path.c_str());
  return result;
}

void expect_error(const InventoryResult& result, std::size_t line, const std::string& field,
                  const std::string& message) {
  ASSERT_FALSE(result.has_value());
  const FileError& error = result.error();
  EXPECT_EQ(error.line, line);
  EXPECT_EQ(error.field.value_or("none"), field);
  EXPECT_EQ(error.message, message);
}

TEST(Inventory, ReadsCsvWithOptionalColumns) {
  const auto result = read_text("# comment\r\nname,group,address,state,size\r\n"
                                "\"db,1\",3,127.0.0.1:1,draining,2.5\r\ndb2,3,127.0.0.1:2,,\r\n",
                                ".csv");
  ASSERT_TRUE(result.has_value()) << result.error().to_string();
  ASSERT_EQ(result.value().endpoints.size(), 2U);
  EXPECT_EQ(result.value().endpoints[0].name, "db,1");
  EXPECT_EQ(result.value().endpoints[0].endpoint.status, EndpointStatus::Draining);
  EXPECT_EQ(result.value().endpoints[0].endpoint.weight, 2.5);
  EXPECT_EQ(result.value().endpoints[1].endpoint.status, EndpointStatus::Up);
  EXPECT_EQ(result.value().endpoints[1].endpoint.weight, 1);
}

TEST(Inventory, ReadsYamlWithInheritedVariables) {
  const auto result = read_text("all:\n  vars: {zone: a, ansible_user: ops}\n  children:\n"
                                "    three:\n      vars: {group: 3}\n      hosts:\n"
                                "        db1: {ansible_host: 127.0.0.1, ansible_port: 1}\n"
                                "        db2: {address: '127.0.0.1:2', zone: b}\n",
                                ".yml");
  ASSERT_TRUE(result.has_value()) << result.error().to_string();
  ASSERT_EQ(result.value().endpoints.size(), 2U);
  EXPECT_EQ(result.value().endpoints[0].address, "127.0.0.1:1");
  EXPECT_EQ(result.value().endpoints[0].endpoint.zone, "a");
  EXPECT_EQ(result.value().endpoints[1].endpoint.zone, "b");
  EXPECT_EQ(result.value().endpoints[1].endpoint.group, 3U);
}

TEST(Inventory, ReportsLineAndFieldOfCsvErrors) {
  expect_error(read_text("name,address,group\na,127.0.0.1:1,0\na,127.0.0.1:2,0\n", ".csv"), 3,
               "name", "'a' is listed twice");
  expect_error(read_text("name,address,colour\n", ".csv"), 1, "colour",
               "is not a column of an inventory");
  expect_error(read_text("name,address,group\n\"a\nb\",127.0.0.1:1,0\nc,127.0.0.1:2,x\n", ".csv"),
               4, "group", "'x' is not an integer from 0 to 4294967295");
  expect_error(read_text("name,address,group\na,\"127.0.0.1:1,0\n", ".csv"), 2, "name",
               "a quotation mark is misplaced or unclosed");
}

TEST(Inventory, ReportsLineAndFieldOfYamlErrors) {
  expect_error(read_text("all:\n  hosts:\n    a: {address: '127.0.0.1:1', role: king}\n", ".yaml"),
               3, "group", "is missing");
  expect_error(read_text("all:\n  machines: {}\n", ".yaml"), 2, "machines",
               "is none of hosts, children and vars");
}

// Guards against foreign data: a file that was read half-written ended in "1" of "11", and the host
// of group 11 was listed in group 1.
TEST(Inventory, RejectsEachBeginningThatEndsWithinALine) {
  const std::string csv = "name,address,group\na,127.0.0.1:1,1\nb,127.0.0.1:2,11\n";
  const std::string yaml = "all:\n  hosts:\n    a: {address: '127.0.0.1:1', group: 1}\n"
                           "    b:\n      address: 127.0.0.1:2\n      group: 11\n";
  for (const auto& [text, extension] : {std::pair(csv, ".csv"), std::pair(yaml, ".yaml")}) {
    ASSERT_TRUE(read_text(text, extension).has_value());
    for (std::size_t size = 1; size < text.size(); ++size) {
      if (text[size - 1] != '\n') {
        EXPECT_FALSE(read_text(text.substr(0, size), extension).has_value()) << size;
      }
    }
  }
  expect_error(read_text(csv.substr(0, csv.size() - 2), ".csv"), 3, "none",
               "the last line does not end, as in a file that is being written; end it, or write "
               "another file and rename it to this one");
}

// Guards against an inventory that was cut behind a whole line: it lacked endpoints.
TEST(Inventory, RejectsEachBeginningOfAFileWithAnEndMark) {
  const std::string csv = "# end mark: eof\nname,address,group\na,127.0.0.1:1,1\nb,127.0.0.1:2,1\n"
                          "# eof\n";
  const std::string yaml = "# end mark: eof\nall:\n  hosts:\n"
                           "    a: {address: '127.0.0.1:1', group: 1}\n"
                           "    b: {address: '127.0.0.1:2', group: 1}\n# eof\n";
  for (const auto& [text, extension] : {std::pair(csv, ".csv"), std::pair(yaml, ".yaml")}) {
    const auto whole = read_text(text, extension);
    ASSERT_TRUE(whole.has_value()) << whole.error().to_string();
    EXPECT_EQ(whole.value().endpoints.size(), 2U);
    for (std::size_t size = 1; size < text.size(); ++size)
      EXPECT_FALSE(read_text(text.substr(0, size), extension).has_value()) << size;
  }
  expect_error(
      read_text(csv.substr(0, csv.find("b,")), ".csv"), 3, "end mark",
      "the last line is not '# eof', which the first line announces; complete the file, or "
      "remove its first line");
}

TEST(Inventory, RejectsAnEmptyListAndOtherExtensions) {
  const auto empty = read_text("name,address,group\n", ".csv");
  ASSERT_FALSE(empty.has_value());
  EXPECT_EQ(empty.error().message, "lists no endpoints");
  EXPECT_EQ(read_inventory("hosts.txt").error().to_string(),
            "hosts.txt: the file name of an inventory must end in .csv, .yaml or .yml");
}

}  // namespace
