#pragma once
#include "event_wait.h"
#define CHECK(condition) test_harness::require(condition, #condition)
