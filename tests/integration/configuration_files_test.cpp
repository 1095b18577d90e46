// Errors in the platform configuration and in the operators' file: the message for each names the
// file, the line and the field.
#include "test_harness.h"
#include "text_file.h"

#include <gtest/gtest.h>

#include <cstring>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace test_harness;

namespace {

/// An operators' file with one error, and two texts that the error message must contain.
struct BadOperatorFile {
  const char* text;
  const char* line;
  const char* field;  ///< Or the value, if it cannot be parsed.
};

std::vector<BadOperatorFile> bad_operator_files() {
  return {
      {"contracts {\n  team {\n    name: 'portal'\n    class { name: 'nothing' }\n  }\n}\n",
       "line 4", "'name'"},
      {"contracts { team { name: 'portal'\n budget { per_second: plenty }\n class { name: "
       "'any' } } }\n",
       "line 2", "plenty"},
      {"contracts { team { name: 'portal'\n budget {\n per_second: -1 }\n class { name: "
       "'any' } } }\n",
       "line 3", "'per_second'"},
      {"contracts { team { name: 'portal'\n class { name: 'any'\n tries: 1.5 } } }\n", "line 3",
       "1.5"},
      {"mongo { listen: 'everywhere'\n inventory: 'a.csv' }\n", "line 1", "'listen'"},
      {"contracts {\n team { name: 'portal' } }\n", "line 2", "'team'"},
      {"contracts {\n team { name: 'p' class { name: 'any' } }\n team { name: 'p' class { "
       "name: 'any' } } "
       "}\n",
       "line 3", "'name'"},
      {"members {\n postgres { name: 'a' address: '127.0.0.1:1' }\n postgres { name: 'b' "
       "address: 'b:1' } "
       "}\n",
       "line 3", "'address'"},
      {"members { postgres { name: 'a' address: '127.0.0.1:1' group: 3 } }\ncontracts { "
       "team { name: 'p'\n"
       "class { name: 'any' }\n group: 3\n group: 9 } }\n",
       "line 5", "'group'"},
      {"mongo { listen: '127.0.0.1:0' }\n", "line 1", "'members'"},
      {"control_service {\n address: '127.0.0.1:1' }\n", "line 1", "'node'"},
      {"state_folder: 'here'\n", "line 1", "'state_folder'"},
      {"limits {\n message_kib: 1 }\n", "line 2", "'message_kib'"},
      {"moongo {}\n", "line 1", "'moongo'"},
  };
}

/// A replacement in a valid configuration that puts the setting `field` out of its range.
struct BadSetting {
  const char* good_text;
  const char* bad_text;
  const char* field;
};

std::vector<BadSetting> bad_settings() {
  return {
      {"\"aim\":2000000000", "\"aim\":0", "'aim'"},
      {"\"give_up\":3000000000", "\"give_up\":1000000000", "'give_up'"},
      {"\"window\":2000000000", "\"window\":-1", "'window'"},
      {"\"worth\":1", "\"worth\":-1", "'worth'"},
      {"\"lag_allowed\":[0", "\"lag_allowed\":[-5", "'lag_allowed'"},
      {"\"send_cap\":6", "\"send_cap\":0", "'send_cap'"},
      {"\"dial_timeout\":250000000", "\"dial_timeout\":9223372036854775807", "'dial_timeout'"},
      {"\"cold_from\":0.5", "\"cold_from\":1.5", "'cold_from'"},
      {"\"tick\":1000000", "\"tick\":-1", "'tick'"},
      {"\"balancers\":1", "\"balancers\":0", "'balancers'"},
      {"\"sockets\":400", "\"sockets\":20", "'sockets'"},
      {"\"memory_mb\":192", "\"memory_mb\":-1", "'memory_mb'"},
  };
}

void expect_operator_file_errors(const std::string& folder, const std::string& config) {
  for (const BadOperatorFile& bad : bad_operator_files()) {
    const std::string file = write_text_file(folder, "gateway.textproto", bad.text);
    std::string output;
    ASSERT_EQ(run_program({"check", "--config", config, "--file", file}, output), 1) << bad.text;
    expect_contains(output, "gateway.textproto: " + std::string(bad.line));
    expect_contains(output, bad.field);
  }
}

void expect_json_errors(const std::string& folder) {
  std::string output;
  const std::string truncated = write_text_file(folder, "truncated.json",
                                                R"({"name":"n0",)"
                                                "\n"
                                                R"("listen":)");
  ASSERT_EQ(run_program({"check", "--config", truncated}, output), 1);
  expect_contains(output, "truncated.json: line 2");
  const std::string wrong_type = write_text_file(folder, "wrong_type.json",
                                                 R"({"name":"n0",)"
                                                 "\n"
                                                 R"("listen":7})");
  ASSERT_EQ(run_program({"check", "--config", wrong_type}, output), 1);
  expect_contains(output, "wrong_type.json: line 2: ");
  expect_contains(output, "'listen'");
}

// A setting out of its range prevents the start, before anything is created from the settings.
void expect_setting_errors(const std::string& folder, const std::string& config) {
  std::ifstream good_file(config);
  const std::string good{std::istreambuf_iterator<char>(good_file), {}};
  for (const BadSetting& setting : bad_settings()) {
    std::string bad = good;
    const std::size_t position = bad.find(setting.good_text);
    ASSERT_NE(position, std::string::npos) << setting.good_text;
    bad.replace(position, std::strlen(setting.good_text), setting.bad_text);
    std::string output;
    const std::string path = write_text_file(folder, "bad_setting.json", bad);
    ASSERT_EQ(run_program({"serve", "--config", path}, output), 1) << setting.bad_text;
    expect_contains(output, "bad_setting.json: line 1: ");
    expect_contains(output, setting.field);
    expect_single_line(output);
  }
}

TEST(ConfigurationFiles, ErrorsNameFileLineAndField) {
  const std::string folder = make_temporary_folder();
  const std::string config = write_platform_config(folder, "127.0.0.1:9");
  std::string output;
  ASSERT_EQ(run_program({"version"}, output), 0) << output;
  ASSERT_EQ(run_program({"check", "--config", config}, output), 0) << output;
  expect_operator_file_errors(folder, config);
  expect_json_errors(folder);
  expect_setting_errors(folder, config);
}

}  // namespace
