#include "event_wait.h"

#include <gtest/gtest.h>

int main(int argument_count, char** arguments) {
  testing::InitGoogleTest(&argument_count, arguments);
  test_harness::throw_on_fatal_failures();
  return RUN_ALL_TESTS();
}
