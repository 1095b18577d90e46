// A valid inventory is loaded. An invalid one prevents the start, before the program listens, with
// one message that names the file, the line and the field.
#include "test_harness.h"
#include "text_file.h"

#include "inventory/inventory.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace test_harness;

namespace {

/// An inventory with one error, and two texts that the error message must contain.
struct BadInventory {
  const char* name;
  const char* text;
  const char* line;
  const char* field;
};

std::vector<BadInventory> bad_inventories() {
  return {
      {"b1.csv", "name,address,group\ndb1,127.0.0.1:1,0\ndb1,127.0.0.1:2,0\n", "line 3", "'name'"},
      {"b2.csv", "name,address,group\ndb1,db1.example:27017,0\n", "line 2", "'address'"},
      {"b3.csv", "name,address,group\ndb1,127.0.0.1:1,x\n", "line 2", "'group'"},
      {"b4.csv", "name,address,colour\n", "line 1", "'colour'"},
      {"b5.csv", "name,address,group\ndb1,127.0.0.1:1\n", "line 2", "'address'"},
      {"b6.csv", "name,address,group\n\ndb1,\"127.0.0.1:1,0\n", "line 3", "'name'"},
      {"b7.yaml", "all:\n  hosts:\n    db1: {address: '127.0.0.1:1', group: 0, role: king}\n",
       "line 3", "'role'"},
      {"b8.yaml", "all:\n  hosts:\n    db1: {group: 0}\n", "line 3", "'address'"},
      {"b9.yaml", "all:\n  hosts: [\n", "line 3", "'yaml'"},
      {"b10.yaml", "all:\n  machines: {}\n", "line 2", "'machines'"},
  };
}

void expect_csv_loads(const std::string& folder) {
  const auto inventory = gorsebeam::inventory::read_inventory(
      write_text_file(folder, "a.csv",
                      "# kept by the tools\r\nname,group,address,zone,role,state,size,started\r\n"
                      "\"db,1\",3,127.0.0.1:27017,a,primary,up,2.5,1767225600\r\n\r\n"
                      "db2,3,127.0.0.1:27018,b,,draining,,\r\n"));
  ASSERT_TRUE(inventory) << inventory.error().to_string();
  const auto& rows = inventory.value().endpoints;
  ASSERT_EQ(rows.size(), 2U);
  ASSERT_EQ(rows[0].name, "db,1");
  ASSERT_EQ(rows[0].endpoint.group, 3);
  ASSERT_TRUE(rows[0].endpoint.listed_as_primary);
  ASSERT_EQ(rows[0].endpoint.weight, 2.5);
  ASSERT_EQ(rows[0].endpoint.started_at, gorsebeam::TimePoint(std::chrono::seconds(1767225600)));
  ASSERT_EQ(rows[1].endpoint.status, gorsebeam::EndpointStatus::Draining);
  ASSERT_FALSE(rows[1].endpoint.listed_as_primary);
}

void expect_yaml_loads(const std::string& folder) {
  const auto inventory = gorsebeam::inventory::read_inventory(
      write_text_file(folder, "a.yaml",
                      "all:\n  vars: {zone: a, ansible_user: ops}\n  children:\n    group_three:\n"
                      "      vars: {group: 3}\n      hosts:\n"
                      "        db1: {ansible_host: 127.0.0.1, ansible_port: 27017, role: primary}\n"
                      "        db2: {address: '127.0.0.1:27018', zone: b}\n"));
  ASSERT_TRUE(inventory) << inventory.error().to_string();
  const auto& rows = inventory.value().endpoints;
  ASSERT_EQ(rows.size(), 2U);
  ASSERT_EQ(rows[0].address, "127.0.0.1:27017");
  ASSERT_EQ(rows[0].endpoint.zone, "a");
  ASSERT_TRUE(rows[0].endpoint.listed_as_primary);
  ASSERT_EQ(rows[1].endpoint.zone, "b");
  ASSERT_EQ(rows[1].endpoint.group, 3);
}

TEST(InventoryFiles, LoadOrPreventStartWithLineAndField) {
  const std::string folder = make_temporary_folder();
  expect_csv_loads(folder);
  expect_yaml_loads(folder);

  const std::string config = write_platform_config(folder, "127.0.0.1:9");
  for (const BadInventory& bad : bad_inventories()) {
    write_text_file(folder, bad.name, bad.text);
    const std::string operator_file = write_text_file(
        folder, "gateway.textproto",
        std::string("mongo { listen: '127.0.0.1:0' inventory: '") + bad.name + "' }\n");
    std::string output;
    ASSERT_EQ(run_program({"serve", "--config", config, "--file", operator_file}, output), 1)
        << bad.name << ": " << output;
    expect_contains(output, bad.name);
    expect_contains(output, bad.line);
    expect_contains(output, bad.field);
    expect_single_line(output);
  }
}

}  // namespace
