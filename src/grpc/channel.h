/// A gRPC session on a TCP connection of the main loop, without TLS.
#pragma once

#include "net/stream.h"
#include "session.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::grpc {

/// States why a channel is not connected; `message` is one clause for the log.
struct ChannelError {
  enum class Code { InvalidAddress, ConnectionLost, SessionEnded };

  Code code = Code::ConnectionLost;
  std::string message;
};

/// Carries bytes between one connection and one session. All runs on the main loop's thread.
class Channel : net::Stream::Events {
public:
  /// Receives what happens on the channel, from the main loop. Each function may close the channel
  /// or open it anew.
  class Events {
  public:
    Events() = default;
    Events(const Events&) = delete;
    Events& operator=(const Events&) = delete;
    virtual ~Events() = default;

    /// The connection is established, and the call is submitted.
    virtual void on_connected() = 0;

    /// Bytes arrived, whether or not they complete a message.
    virtual void on_bytes_received() = 0;

    virtual void on_message(std::string_view message) = 0;

    /// The connection or the session has ended; called once, and never after `close`.
    virtual void on_disconnected(const ChannelError& error) = 0;
  };

  /// `events` must outlive the channel.
  explicit Channel(Events& events) : events_(events) {}

  ~Channel() override { close(); }

  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// Closes the channel and connects to a numeric address and port, to call the method `path`.
  /// Error: InvalidAddress.
  [[nodiscard]] std::optional<ChannelError> open(const std::string& address,
                                                 const std::string& path);

  /// Does nothing unless the channel is connected.
  void send_message(std::string_view message);

  /// Does nothing unless the channel is connected.
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
