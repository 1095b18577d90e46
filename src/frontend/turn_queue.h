/// Lets connections take turns at work that would delay other clients if all of it were done in one
/// iteration of the event loop. Performs no I/O; runs on one thread.
#pragma once

#include <algorithm>
#include <deque>

namespace gorsebeam::frontend {

/// A queue of waiting connections, first come, first served. A connection waits at most once, so
/// that one with much work comes after the others again.
template <typename Connection>
class TurnQueue {
public:
  /// Returns whether it is the connection's turn, which then ends. Otherwise it waits for its turn.
  [[nodiscard]] bool try_use_turn(Connection& connection) {
    if (turn_ == &connection) {
      turn_ = nullptr;
      return true;
    }
    if (std::find(waiting_.begin(), waiting_.end(), &connection) == waiting_.end())
      waiting_.push_back(&connection);
    return false;
  }

  /// Begins the turn of the connection that has waited longest, and returns it; null if none waits.
  [[nodiscard]] Connection* begin_turn() {
    turn_ = nullptr;
    if (waiting_.empty())
      return nullptr;
    turn_ = waiting_.front();
    waiting_.pop_front();
    return turn_;
  }

  /// Forgets a connection that will not work any more.
  void remove(const Connection& connection) {
    if (turn_ == &connection)
      turn_ = nullptr;
    waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), &connection), waiting_.end());
  }

  [[nodiscard]] bool is_empty() const { return waiting_.empty(); }

private:
  std::deque<Connection*> waiting_;
  Connection* turn_ = nullptr;  ///< Whose turn it is.
};

}  // namespace gorsebeam::frontend
