// A session on a socket of the house's loop, without TLS.
#pragma once

#include "net/stream.h"
#include "session.h"

#include <memory>
#include <string>

namespace gorsebeam::grpc {

class Channel : net::Stream::Events {
public:
  class Events {
  public:
    virtual ~Events() = default;
    virtual void up() = 0;                          // the connection stands and the call is made
    virtual void heard() = 0;                       // anything came
    virtual void message(std::string_view m) = 0;   // a whole one
    virtual void down(const std::string& why) = 0;  // once, from the loop; not after close()
  };

  explicit Channel(Events& events) : events_(events) {}

  ~Channel() override { close(); }

  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  bool dial(const std::string& address, const std::string& path);  // false: no such address
  void send(std::string_view message);
  void ping();
  void close();

  bool open() const { return stream_ != nullptr; }

private:
  void connected() override;
  void received() override;

  void flushed() override { pump(); }

  void ended(const std::string& why) override { fail(why); }

  void pump();
  void fail(const std::string& why);

  Events& events_;
  std::shared_ptr<net::Stream> stream_;
  std::shared_ptr<Session> session_;
  std::string authority_, path_;
};

}  // namespace gorsebeam::grpc
