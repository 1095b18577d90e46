#pragma once

namespace rig {

/// One of eight data hosts sends a second copy right behind its answers.
int second_copy();

}  // namespace rig
