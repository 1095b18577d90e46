/// Runs a gRPC session over a TCP connection without TLS, on the event loop.
#pragma once

#include "net/stream.h"
#include "session.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::grpc {

/// States why a channel is not connected. `message` is a clause for the log.
struct ChannelError {
  enum class Code { InvalidAddress, ConnectionLost, SessionEnded };

  Code code = Code::ConnectionLost;
  std::string message;
};

/// Passes bytes between one connection and one session. All functions and callbacks run on the main
/// loop's thread.
class Channel : net::Stream::Events {
public:
  /// The callbacks of a channel, which the event loop calls. Each of them may close the channel or
  /// open it again.
  class Events {
  public:
    Events() = default;
    Events(const Events&) = delete;
    Events& operator=(const Events&) = delete;
    virtual ~Events() = default;

    /// The connection is established, and the gRPC call is submitted.
    virtual void on_connected() = 0;

    /// Bytes arrived from the peer, whether or not they complete a message.
    virtual void on_bytes_received() = 0;

    virtual void on_message(std::string_view message) = 0;

    /// The connection or the session has ended. Called at most once for each `open`, and never
    /// after `close`.
    virtual void on_disconnected(const ChannelError& error) = 0;
  };

  /// `events` must outlive the channel.
  explicit Channel(Events& events) : events_(events) {}

  ~Channel() override { close(); }

  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// Closes the channel, then connects to `address`, a numeric address and port, and calls the gRPC
  /// method `path`. Error: InvalidAddress, also if no socket can be opened.
  [[nodiscard]] std::optional<ChannelError> open(const std::string& address,
                                                 const std::string& path);

  /// Sends a message. Does nothing unless the channel is connected.
  void send_message(std::string_view message);

  /// Sends an HTTP/2 PING. Does nothing unless the channel is connected.
  void send_ping();

  void close();

  [[nodiscard]] bool is_open() const { return stream_ != nullptr; }

private:
  void connected() override;
  void received() override;

  void flushed() override { write_output(); }

  void ended(const std::string& why) override;

  void write_output();
  void fail(const ChannelError& error);

  Events& events_;
  std::shared_ptr<net::Stream> stream_;
  std::shared_ptr<Session> session_;
  std::string authority_;
  std::string path_;
};

}  // namespace gorsebeam::grpc
