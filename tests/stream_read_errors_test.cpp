// Guards against requests to an endpoint that is listed as draining: a read that failed for lack of
// memory left the list unread, although it had arrived, until after something was sent.
#include "net/stream.h"

#include <gtest/gtest.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <string>

#include <dlfcn.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

int reads_to_fail = 0;

}  // namespace

// Replaces the function of libc for GIO too, as this file is linked into the program.
// NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name): libc reserves its names
extern "C" ssize_t recv(int descriptor, void* buffer, size_t size, int flags) {
  using Recv = ssize_t(int, void*, size_t, int);
  static auto* const kNextDefinition = reinterpret_cast<Recv*>(dlsym(RTLD_NEXT, "recv"));
  if (reads_to_fail > 0) {
    --reads_to_fail;
    errno = ENOMEM;
    return -1;
  }
  return kNextDefinition(descriptor, buffer, size, flags);
}

namespace gorsebeam::net {
namespace {

class StreamReadErrors : public testing::Test, public Stream::Events {
protected:
  StreamReadErrors() {
    std::array<int, 2> ends{};
    if (socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) != 0)
      throw std::runtime_error("no pair of sockets");
    peer_ = ends[1];
    stream_ = Stream::adopt(SocketHandle(g_socket_new_from_fd(ends[0], nullptr)), *this);
  }

  ~StreamReadErrors() override {
    reads_to_fail = 0;
    stream_->close();
    ::close(peer_);
  }

  void received() override {
    received_ += stream_->input().view();
    stream_->input().consume(stream_->input().size());
  }

  void ended(const std::string&) override { is_ended_ = true; }

  void send_from_peer(const std::string& bytes) const {
    ASSERT_EQ(::write(peer_, bytes.data(), bytes.size()), static_cast<ssize_t>(bytes.size()));
  }

  int peer_ = -1;
  std::shared_ptr<Stream> stream_;
  std::string received_;
  bool is_ended_ = false;
};

TEST_F(StreamReadErrors, ReadsPendingInputAlthoughReadsFail) {
  send_from_peer("list");
  reads_to_fail = 2;
  stream_->process_pending();
  EXPECT_EQ(received_, "list");
}

TEST_F(StreamReadErrors, ReadsPendingInputDuringABackoff) {
  send_from_peer("first");
  reads_to_fail = 100;
  stream_->process_pending();
  EXPECT_EQ(received_, "") << "each read fails";
  EXPECT_FALSE(is_ended_);
  EXPECT_GT(reads_to_fail, 90) << "it does not try without end";
  reads_to_fail = 0;
  stream_->process_pending();
  EXPECT_EQ(received_, "first");
}

}  // namespace
}  // namespace gorsebeam::net
