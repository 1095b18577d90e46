#include "cases.h"
#include "rig.h"

#include <csignal>
#include <iostream>
#include <string>

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::string name = argc > 1 ? argv[1] : "";
  rig::open_record();
  if (name == "half_written")
    return rig::half_written_inventory(false);
  if (name == "half_written_long")
    return rig::half_written_inventory(true);
  if (name == "second_copy")
    return rig::second_copy();
  if (name == "read_at_once")
    return rig::read_at_once();
  std::cerr << "unknown case\n";
  return 2;
}
