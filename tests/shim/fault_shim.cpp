/// A library to preload into a gateway under test. It replaces accept, connect, poll, recv, send
/// and sendmsg by functions that sometimes fail with an error that Linux documents, or read or
/// write fewer bytes than requested. The seed in FAULT_SHIM_SEED determines these faults.
#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <initializer_list>

#include <dlfcn.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>

namespace {

constexpr std::size_t kMaxShortTransferBytes = 24;
constexpr unsigned kShortTransfersPerThousand = 60;

std::uint64_t initial_state() {
  const char* seed = std::getenv("FAULT_SHIM_SEED");
  return (seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10)) * 0x9e3779b97f4a7c15ULL + 1;
}

/// The next number of the xorshift64* generator by G. Marsaglia and S. Vigna.
std::uint64_t next_random() {
  thread_local std::uint64_t state = initial_state();
  state ^= state >> 12;
  state ^= state << 25;
  state ^= state >> 27;
  return state * 0x2545f4914f6cdd1dULL;
}

bool draw_bool(unsigned per_thousand) {
  return next_random() % 1000 < per_thousand;
}

/// Draws whether a call fails. If it does, sets errno to one of `errors`.
bool draw_error(unsigned per_thousand, std::initializer_list<int> errors) {
  if (!draw_bool(per_thousand))
    return false;
  errno = errors.begin()[next_random() % errors.size()];
  return true;
}

/// The definition of `name` that the process would use without this library.
template <typename Function>
Function* next_definition(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

bool is_ipv4_socket(int descriptor) {
  sockaddr_storage address{};
  socklen_t length = sizeof address;
  return getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0 &&
         address.ss_family == AF_INET;
}

/// Draws whether a read or write is short. Returns the smaller size of a short one, otherwise
/// `size`.
std::size_t draw_transfer_size(std::size_t size) {
  if (size < 2 || !draw_bool(kShortTransfersPerThousand))
    return size;
  const std::size_t limit = std::min(size, kMaxShortTransferBytes);
  return 1 + next_random() % (limit - 1);
}

}  // namespace

extern "C" {

// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name): libc reserves its names
int accept(int descriptor, sockaddr* address, socklen_t* length) {
  static auto* const kNextDefinition = next_definition<int(int, sockaddr*, socklen_t*)>("accept");
  if (draw_error(20, {EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM}))
    return -1;
  return kNextDefinition(descriptor, address, length);
}

// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name): libc reserves its names
int connect(int descriptor, const sockaddr* address, socklen_t length) {
  static auto* const kNextDefinition =
      next_definition<int(int, const sockaddr*, socklen_t)>("connect");
  if (is_ipv4_socket(descriptor) &&
      draw_error(15, {EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH}))
    return -1;
  return kNextDefinition(descriptor, address, length);
}

// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name): libc reserves its names
int poll(pollfd* descriptors, nfds_t count, int timeout_ms) {
  static auto* const kNextDefinition = next_definition<int(pollfd*, nfds_t, int)>("poll");
  if (draw_error(20, {EINTR}))
    return -1;
  return kNextDefinition(descriptors, count, timeout_ms);
}

// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name): libc reserves its names
ssize_t recv(int descriptor, void* buffer, size_t size, int flags) {
  static auto* const kNextDefinition = next_definition<ssize_t(int, void*, size_t, int)>("recv");
  if (draw_error(30, {EINTR, ENOMEM}))
    return -1;
  return kNextDefinition(descriptor, buffer, draw_transfer_size(size), flags);
}

// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name): libc reserves its names
ssize_t send(int descriptor, const void* buffer, size_t size, int flags) {
  static auto* const kNextDefinition =
      next_definition<ssize_t(int, const void*, size_t, int)>("send");
  if (draw_error(30, {EINTR, EAGAIN, ENOBUFS, ENOMEM}))
    return -1;
  return kNextDefinition(descriptor, buffer, draw_transfer_size(size), flags);
}

// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name): libc reserves its names
ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static auto* const kNextDefinition = next_definition<ssize_t(int, const msghdr*, int)>("sendmsg");
  if (draw_error(30, {EINTR, EAGAIN}))
    return -1;
  if (message->msg_iovlen == 0 || !draw_bool(kShortTransfersPerThousand))
    return kNextDefinition(descriptor, message, flags);
  iovec first_buffer = message->msg_iov[0];
  first_buffer.iov_len = draw_transfer_size(first_buffer.iov_len);
  msghdr short_message = *message;
  short_message.msg_iov = &first_buffer;
  short_message.msg_iovlen = 1;
  return kNextDefinition(descriptor, &short_message, flags);
}

}  // extern "C"
