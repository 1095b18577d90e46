// One member as an inventory names it: its fields with the lines they stand on.
#pragma once

#include "proxy/request_broker.h"

#include <map>
#include <set>
#include <string>

namespace gorsebeam::inventory {

struct Field {
  std::string text;
  std::size_t line = 0;
};

using Row = std::map<std::string, Field>;

// Checks rows and makes members of them; names must differ, and a group may have one primary.
class Rows {
public:
  explicit Rows(std::string path) : path_(std::move(path)) {}

  void add(const Row& row, std::size_t line);
  [[noreturn]] void wrong(std::size_t line, const std::string& field,
                          const std::string& what) const;
  static bool known(const std::string& field);
  std::vector<proxy::ListedEndpoint> members;

private:
  std::string path_;
  std::set<std::string> names_;
  std::set<GroupId> with_primary_;
};

void read_csv(const std::string& path, Rows& rows);
void read_yaml(const std::string& path, Rows& rows);

}  // namespace gorsebeam::inventory
