/// Reads the simulator's batches on standard input and writes a reply to each on standard output.
#include "session.h"

#include <exception>
#include <iostream>
#include <string>

namespace {

using gorsebeam::simulator_adapter::Session;

/// Runs a session until the input ends. Returns the exit status, which is 1 if the input ends
/// inside a batch. Throws ProtocolError. `line_number` is set to the number of lines that were
/// read.
int run_session(std::size_t& line_number) {
  Session session;
  std::string line;
  std::string reply;
  while (std::getline(std::cin, line)) {
    ++line_number;
    if (line.empty())
      continue;
    session.handle_line(line, reply);
    if (reply.empty() || session.is_inside_batch())
      continue;
    std::cout << reply << std::flush;
    reply.clear();
  }
  if (!session.is_inside_batch())
    return 0;
  std::cerr << "gorsebeam-simulator-adapter: the input ended inside a batch, after line "
            << line_number << '\n';
  return 1;
}

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  std::size_t line_number = 0;
  try {
    return run_session(line_number);
  } catch (const std::exception& error) {
    std::cerr << "gorsebeam-simulator-adapter: line " << line_number << ": " << error.what()
              << '\n';
    return 1;
  }
}
