// The stand-in control service by itself, for trying things by hand: prints its address and stands
// for argument-1 seconds.
#include "control/service.h"

#include <cstdlib>

int main(int count, char** arguments) {
  stand_in::Service service;
  std::printf("%s\n", service.address().c_str());
  std::fflush(stdout);
  g_usleep(static_cast<gulong>(count > 1 ? std::atoi(arguments[1]) : 60) * G_USEC_PER_SEC);
}
