// Runs the tests' control service by itself, for trials by hand: prints its address and serves for
// as many seconds as the first argument says, 60 if there is none.
#include "fake_control_plane/service.h"

#include <cstdlib>

int main(int count, char** arguments) {
  fake_control_plane::ControlService service;
  std::printf("%s\n", service.address().c_str());
  std::fflush(stdout);
  g_usleep(static_cast<gulong>(count > 1 ? std::atoi(arguments[1]) : 60) * G_USEC_PER_SEC);
}
