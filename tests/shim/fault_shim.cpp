/// A library to be preloaded into a gateway under test. It lets calls on sockets fail as Linux
/// documents them, drawn from the seed in FAULT_SHIM_SEED: errors of accept, connect and socket,
/// interrupted and premature waits, short reads and writes.
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <initializer_list>

#include <dlfcn.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>

namespace {

constexpr std::size_t kMaxShort = 24;  // bytes of a short read or write

std::uint64_t initial_state() {
  const char* seed = std::getenv("FAULT_SHIM_SEED");
  return (seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10)) * 0x9e3779b97f4a7c15ULL + 1;
}

/// xorshift64*, by G. Marsaglia and S. Vigna.
std::uint64_t next_random() {
  thread_local std::uint64_t state = initial_state();
  state ^= state >> 12;
  state ^= state << 25;
  state ^= state >> 27;
  return state * 0x2545f4914f6cdd1dULL;
}

bool is_drawn(unsigned per_thousand) {
  return next_random() % 1000 < per_thousand;
}

/// Sets errno to one of `errors`; true if one was drawn.
bool fails(unsigned per_thousand, std::initializer_list<int> errors) {
  if (!is_drawn(per_thousand))
    return false;
  errno = errors.begin()[next_random() % errors.size()];
  return true;
}

template <typename Function>
Function* next_symbol(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

bool is_socket_of_ip(int descriptor) {
  sockaddr_storage address{};
  socklen_t length = sizeof address;
  return getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0 &&
         address.ss_family == AF_INET;
}

std::size_t shortened(std::size_t size) {
  if (size < 2 || !is_drawn(60))
    return size;
  const std::size_t limit = size < kMaxShort ? size : kMaxShort;
  return 1 + next_random() % (limit - 1);
}

}  // namespace

extern "C" {

// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name): libc reserves its names
int accept(int descriptor, sockaddr* address, socklen_t* length) {
  static auto* const kNext = next_symbol<int(int, sockaddr*, socklen_t*)>("accept");
  if (fails(20, {EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM}))
    return -1;
  const int accepted = kNext(descriptor, address, length);
  return accepted;
}

// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name): libc reserves its names
int connect(int descriptor, const sockaddr* address, socklen_t length) {
  static auto* const kNext = next_symbol<int(int, const sockaddr*, socklen_t)>("connect");
  if (is_socket_of_ip(descriptor) &&
      fails(15, {EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH}))
    return -1;
  return kNext(descriptor, address, length);
}

// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name): libc reserves its names
int poll(pollfd* descriptors, nfds_t count, int timeout_ms) {
  static auto* const kNext = next_symbol<int(pollfd*, nfds_t, int)>("poll");
  if (fails(20, {EINTR}))
    return -1;
  return kNext(descriptors, count, timeout_ms);
}

// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name): libc reserves its names
ssize_t recv(int descriptor, void* buffer, size_t size, int flags) {
  static auto* const kNext = next_symbol<ssize_t(int, void*, size_t, int)>("recv");
  if (fails(30, {EINTR, ENOMEM}))
    return -1;
  return kNext(descriptor, buffer, shortened(size), flags);
}

// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name): libc reserves its names
ssize_t send(int descriptor, const void* buffer, size_t size, int flags) {
  static auto* const kNext = next_symbol<ssize_t(int, const void*, size_t, int)>("send");
  if (fails(30, {EINTR, EAGAIN, ENOBUFS, ENOMEM}))
    return -1;
  return kNext(descriptor, buffer, shortened(size), flags);
}

// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name): libc reserves its names
ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static auto* const kNext = next_symbol<ssize_t(int, const msghdr*, int)>("sendmsg");
  if (fails(30, {EINTR, EAGAIN}))
    return -1;
  msghdr first_part = *message;
  iovec part{};
  if (message->msg_iovlen == 0 || !is_drawn(60))
    return kNext(descriptor, message, flags);
  part = message->msg_iov[0];
  part.iov_len = shortened(part.iov_len);
  first_part.msg_iov = &part;
  first_part.msg_iovlen = 1;
  return kNext(descriptor, &first_part, flags);
}

}  // extern "C"
