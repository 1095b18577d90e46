#include "signals.h"

#include <glib-unix.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <stdexcept>
#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

namespace gorsebeam::net {
namespace {

constexpr int kNumbers = 32;  // the plain signals
std::array<volatile std::sig_atomic_t, kNumbers> raised{};
volatile std::sig_atomic_t bell = -1;  // an eventfd that wakes the loop

void on_signal(int number) {
  const int before = errno;
  raised[static_cast<std::size_t>(number)] = 1;
  const std::uint64_t one = 1;
  if (write(bell, &one, sizeof one) < 0) {
  }  // full: it rings already
  errno = before;
}

}  // namespace

struct Signals::Before {
  int number;
  struct sigaction action;
};

Signals::Signals(const std::vector<int>& numbers, std::function<void(int)> told)
    : told_(std::move(told)) {
  bell = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (bell < 0)
    throw std::runtime_error("no descriptor is left to watch signals with");
  source_.reset(g_unix_fd_source_new(bell, G_IO_IN));
  g_source_set_callback(source_.get(), G_SOURCE_FUNC(&Signals::on_ready), this, nullptr);
  g_source_attach(source_.get(), nullptr);
  for (const int number : numbers) {
    struct sigaction action {};

    action.sa_handler = on_signal;
    action.sa_flags = SA_RESTART;
    before_.push_back({number, {}});
    sigaction(number, &action, &before_.back().action);
  }
}

Signals::~Signals() {
  for (const Before& before : before_)
    sigaction(before.number, &before.action, nullptr);
  source_.reset();
  ::close(std::exchange(bell, -1));
}

// The bell is emptied before the flags are read: one raised between rings again.
gboolean Signals::on_ready(gint, GIOCondition, gpointer self) {
  auto* signals = static_cast<Signals*>(self);
  std::uint64_t rung = 0;
  if (read(bell, &rung, sizeof rung) < 0)
    return G_SOURCE_CONTINUE;
  for (const Before& before : signals->before_)
    if (std::exchange(raised[static_cast<std::size_t>(before.number)], 0))
      signals->told_(before.number);
  return G_SOURCE_CONTINUE;
}

}  // namespace gorsebeam::net
