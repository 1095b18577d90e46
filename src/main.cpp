/// The entry point of the program `gorsebeam-gateway`.
#include "command_line/command_line.h"

int main(int argc, char** argv) {
  return gorsebeam::command_line::run(argc, argv);
}
