/// Ends a TCP connection with a reset.
#pragma once

namespace test_harness {

/// Makes the next close of the socket send RST in place of FIN. Throws TestFailure if the option
/// cannot be set.
void reset_on_close(int descriptor);

}  // namespace test_harness
