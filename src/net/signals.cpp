#include "signals.h"

#include "contained_callback.h"

#include <glib-unix.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

namespace gorsebeam::net {
namespace {

constexpr int kSignalCount = 32;  // excludes the real-time signals
std::array<volatile std::sig_atomic_t, kSignalCount> raised_signals{};
volatile std::sig_atomic_t wake_descriptor = -1;  // an eventfd that wakes the event loop

void on_signal(int number) {
  const int saved_errno = errno;
  raised_signals[static_cast<std::size_t>(number)] = 1;
  const std::uint64_t one = 1;
  if (write(wake_descriptor, &one, sizeof one) < 0) {
  }  // the counter of the eventfd is full, so the event loop wakes anyway
  errno = saved_errno;
}

}  // namespace

struct Signals::PreviousAction {
  int number;
  struct sigaction action;
};

Signals::Signals(const std::vector<int>& numbers, Handler handler) : handler_(std::move(handler)) {
  wake_descriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (wake_descriptor < 0)
    throw std::runtime_error(std::string("cannot create the eventfd that reports signals: ") +
                             g_strerror(errno));
  source_.reset(g_unix_fd_source_new(wake_descriptor, G_IO_IN));
  g_source_set_callback(source_.get(), G_SOURCE_FUNC(&Signals::on_ready), this, nullptr);
  g_source_attach(source_.get(), nullptr);
  for (const int number : numbers) {
    struct sigaction action {};

    action.sa_handler = on_signal;
    action.sa_flags = SA_RESTART;
    previous_actions_.push_back({number, {}});
    sigaction(number, &action, &previous_actions_.back().action);
  }
}

Signals::~Signals() {
  for (const PreviousAction& previous : previous_actions_)
    sigaction(previous.number, &previous.action, nullptr);
  source_.reset();
  ::close(std::exchange(wake_descriptor, -1));
}

gboolean Signals::on_ready(gint, GIOCondition, gpointer self) {
  auto* signals = static_cast<Signals*>(self);
  // The counter is reset before the flags are read, so a signal that is raised in between wakes the
  // event loop again.
  std::uint64_t count = 0;
  if (read(wake_descriptor, &count, sizeof count) < 0)
    return G_SOURCE_CONTINUE;
  for (const PreviousAction& previous : signals->previous_actions_)
    if (std::exchange(raised_signals[static_cast<std::size_t>(previous.number)], 0) != 0)
      run_contained("signal", [signals, &previous] {
        signals->handler_(previous.number);
      });
  return G_SOURCE_CONTINUE;
}

}  // namespace gorsebeam::net
