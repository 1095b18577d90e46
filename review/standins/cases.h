#pragma once

namespace rig {

/// One of eight data hosts sends a second copy right behind its answers.
int second_copy();

/// An inventory is read while half of it is written. Without `waits_for_removal` only the time of
/// the rewrite is looked at, and what counts is that a request is sent to a host of another group.
/// With it, the new host is taken out of service later, and what counts is that a request gets no
/// final answer.
int half_written_inventory(bool waits_for_removal);

/// Session reads carry their last commit, while the replicas apply the log slowly.
int read_at_once();

}  // namespace rig
