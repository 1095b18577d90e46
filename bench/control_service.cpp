// Runs the tests' fake control service as a program, for manual tests. Prints the service's address
// and serves for the number of seconds in the first argument, 60 by default.
#include "fake_control_plane/control_service.h"

#include <cstdio>
#include <cstdlib>

#include <glib.h>

int main(int argument_count, char** arguments) {
  constexpr int kDefaultSeconds = 60;
  const fake_control_plane::ControlService service;
  std::printf("%s\n", service.address().c_str());
  std::fflush(stdout);
  const int seconds = argument_count > 1 ? std::atoi(arguments[1]) : kDefaultSeconds;
  g_usleep(static_cast<gulong>(seconds) * G_USEC_PER_SEC);
}
