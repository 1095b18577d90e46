#include "tcp_reset.h"

#include "event_wait.h"

#include <sys/socket.h>

namespace test_harness {

void reset_on_close(int descriptor) {
  const linger no_linger{1, 0};
  const int result = setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
  require(result == 0, "cannot set SO_LINGER on descriptor " + std::to_string(descriptor));
}

}  // namespace test_harness
