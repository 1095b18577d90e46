// Reads batches on standard input and writes one reply for each on standard output.
#include "session.h"

#include <exception>
#include <iostream>
#include <string>

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  gorsebeam::simulator_adapter::Session session;
  std::string text;
  std::string reply;
  std::size_t number = 0;
  try {
    while (std::getline(std::cin, text)) {
      ++number;
      if (text.empty())
        continue;
      session.line(text, reply);
      if (reply.empty() || session.inside_batch())
        continue;
      std::cout << reply << std::flush;
      reply.clear();
    }
    if (session.inside_batch()) {
      std::cerr << "gorsebeam-simulator-adapter: the input ended inside a batch, after line "
                << number << '\n';
      return 1;
    }
  } catch (const std::exception& error) {
    std::cerr << "gorsebeam-simulator-adapter: line " << number << ": " << error.what() << '\n';
    return 1;
  }
  return 0;
}
