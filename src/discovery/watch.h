// Follows the member list: an HTTP/1.1 watch, opened again whenever it ends or falls silent.
#pragma once

#include "list.h"
#include "newest.h"
#include "objects.h"
#include "pace.h"

#include "net/stream.h"
#include "net/timer.h"

#include <functional>
#include <memory>
#include <string>

namespace gorsebeam::discovery {

class Watch : public net::Stream::Events {
public:
  // `known`: the list as last held.
  Watch(broker::Core& core, std::string address, List known, Pace pace);
  void start();
  void stop();
  void follow(const std::string& address);  // goes over to it; the list as held goes on meanwhile

private:
  void connected() override;
  void received() override;
  void ended(const std::string& why) override;
  void take();
  bool head();
  bool chunk();
  void lists();
  void apply(List list);
  void again(const std::string& why, bool silent = false);

  broker::Core& core_;
  std::string address_;
  std::int64_t revision_;  // up to which the next call need not tell; 0: everything, please
  std::shared_ptr<net::Stream> stream_;
  net::Timer silence_, retry_;
  Pace pace_;
  Newest newest_;
  Objects objects_;                                           // of the answer
  bool head_read_ = false, chunked_ = false, first_ = false;  // first_: of this watch's lists
  std::string told_;                                          // why it ended, as last logged
};

}  // namespace gorsebeam::discovery
