// The clock and the timers of net/timer.h in virtual time: an executable that holds
// virtual_time.cpp has these in place of the main loop's. Nothing waits, so hours pass in seconds,
// the same each time.
#pragma once

#include <cstdint>
#include <functional>

namespace virtual_time {

void at(std::int64_t when,
        std::function<void()> step);  // Unix nanoseconds; in order of time, then of asking
void run_until(std::int64_t when);
std::size_t pending();  // steps and timers that are set

}  // namespace virtual_time
