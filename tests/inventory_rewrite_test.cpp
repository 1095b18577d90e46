/// Inventories that are rewritten in place: a beginning of the new file is not taken for the whole.
#include "inventory/inventory.h"
#include "inventory/rewrite_check.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

namespace gorsebeam::inventory {
namespace {

/// A file that is read again after it was rewritten in place, or replaced.
class RewrittenFile {
public:
  explicit RewrittenFile(const std::string& extension)
      : path_(testing::TempDir() + testing::UnitTest::GetInstance()->current_test_info()->name() +
              extension) {}

  ~RewrittenFile() { std::remove(path_.c_str()); }

  RewrittenFile(const RewrittenFile&) = delete;
  RewrittenFile& operator=(const RewrittenFile&) = delete;

  /// Writes `text` in place and reads it, as the inventory in force.
  void apply(const std::string& text) {
    write(text);
    const InventoryResult read = read_inventory(path_);
    ASSERT_TRUE(read.has_value()) << read.error().to_string();
    applied_ = read.value().layout;
  }

  /// Writes `text` in place and returns why it is rejected; empty if it is accepted.
  std::string rewrite(const std::string& text) {
    write(text);
    return error_of_file();
  }

  /// Renames another file, with `text`, to this one, and returns why it is rejected.
  std::string replace(const std::string& text) {
    std::ofstream(path_ + ".new") << text;
    EXPECT_EQ(std::rename((path_ + ".new").c_str(), path_.c_str()), 0);
    return error_of_file();
  }

private:
  void write(const std::string& text) { std::ofstream(path_) << text; }

  std::string error_of_file() {
    const InventoryResult read = read_inventory(path_);
    if (!read)
      return read.error().to_string();
    const auto cut = find_cut("hosts", applied_, read.value().layout);
    return cut ? cut->to_string() : "";
  }

  std::string path_;
  InventoryLayout applied_;
};

/// The sizes of the beginnings of `text` that end behind a whole line, without the whole text.
std::vector<std::size_t> whole_line_beginnings(const std::string& text) {
  std::vector<std::size_t> sizes;
  for (std::size_t size = 1; size < text.size(); ++size)
    if (text[size - 1] == '\n')
      sizes.push_back(size);
  return sizes;
}

/// Expects that each beginning of `text` that ends behind a whole line is rejected, and `text` not.
void expect_only_whole_text_accepted(RewrittenFile& file, const std::string& text) {
  for (const std::size_t size : whole_line_beginnings(text))
    EXPECT_NE(file.rewrite(text.substr(0, size)), "") << text.substr(0, size);
  EXPECT_EQ(file.rewrite(text), "");
}

const std::string kCsv = "name,address,group,state\na,127.0.0.1:1,1,up\nb,127.0.0.1:2,11,draining\n"
                         "c,127.0.0.1:3,12,up\n";

// Group 1 and the zone are defaults, which the last hosts do not have.
const std::string kYamlWithDefaults = "all:\n  vars:\n    group: 1\n    zone: north\n  hosts:\n"
                                      "    a:\n      address: 127.0.0.1:1\n"
                                      "    b:\n      address: 127.0.0.1:2\n      group: 11\n"
                                      "    c:\n      address: 127.0.0.1:3\n      group: 12\n"
                                      "      state: draining\n      zone: south\n";

// The variables of each group follow its hosts.
const std::string kYamlWithVarsAtTheEnd =
    "all:\n  vars: {group: 1, ansible_port: 9}\n  children:\n"
    "    one:\n      hosts:\n        a: {ansible_host: 127.0.0.1}\n"
    "    two:\n      hosts:\n        b: {ansible_host: 127.0.0.2}\n"
    "        c: {ansible_host: 127.0.0.3}\n"
    "      vars:\n        group: 2\n        ansible_port: 10\n        state: draining\n";

// Guards against foreign answers: of an inventory that was half-written, a host had its address but
// not yet its group, got the default group, and was sent that group's requests.
TEST(InventoryRewrite, RejectsEachBeginningThatEndsBehindALine) {
  for (const auto& [extension, text] :
       {std::pair(".csv", kCsv), std::pair(".yaml", kYamlWithDefaults),
        std::pair(".yaml", kYamlWithVarsAtTheEnd)}) {
    RewrittenFile file(extension);
    file.apply(text);
    expect_only_whole_text_accepted(file, text);
  }
}

TEST(InventoryRewrite, RejectsBeginningsOfAChangedInventory) {
  RewrittenFile file(".yaml");
  file.apply(kYamlWithDefaults);
  const std::string added = "    d:\n      address: 127.0.0.1:4\n      group: 12\n";
  const std::size_t address_end = added.find("      group");
  EXPECT_EQ(file.rewrite(kYamlWithDefaults + added.substr(0, address_end)),
            "hosts: line 17: field 'group': is missing in the last host, 'd', which is new, while "
            "other hosts have their own, as in a file that is being written; complete it, or write "
            "another file and rename it to this one");
  EXPECT_EQ(file.rewrite(kYamlWithDefaults + added), "");
  std::string moved = kYamlWithDefaults;
  moved.replace(moved.find("north"), 5, "porto");
  expect_only_whole_text_accepted(file, moved);
}

TEST(InventoryRewrite, AcceptsChangesThatNoCutExplains) {
  RewrittenFile csv(".csv");
  csv.apply(kCsv);
  EXPECT_EQ(csv.rewrite("name,address,group\nc,127.0.0.1:3,12\n"), "");
  EXPECT_EQ(csv.rewrite(kCsv + "d,127.0.0.1:4,12,up\n"), "");
  RewrittenFile yaml(".yml");
  const std::string grouped = "all:\n  children:\n    one:\n      vars: {group: 1}\n      hosts:\n"
                              "        a: {address: '127.0.0.1:1'}\n";
  yaml.apply(grouped);
  EXPECT_EQ(yaml.rewrite(grouped + "        b: {address: '127.0.0.1:2'}\n"), "");
}

TEST(InventoryRewrite, AcceptsAShorterInventoryThatIsKnownToBeWhole) {
  const std::string shorter = kCsv.substr(0, kCsv.find("c,"));
  RewrittenFile csv(".csv");
  csv.apply(kCsv);
  EXPECT_NE(csv.rewrite(shorter), "");
  EXPECT_EQ(csv.rewrite("# end mark: eof\n" + shorter + "# eof\n"), "");
  EXPECT_EQ(csv.replace(shorter), "");
  const std::string shorter_yaml = kYamlWithDefaults.substr(0, kYamlWithDefaults.find("    c:"));
  RewrittenFile yaml(".yaml");
  yaml.apply(kYamlWithDefaults);
  EXPECT_NE(yaml.rewrite(shorter_yaml), "");
  EXPECT_EQ(yaml.rewrite(shorter_yaml + "...\n"), "");
  yaml.apply(kYamlWithDefaults + "...\n");
  EXPECT_NE(yaml.rewrite(shorter_yaml), "");
}

}  // namespace
}  // namespace gorsebeam::inventory
