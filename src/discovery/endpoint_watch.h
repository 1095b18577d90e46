// Follows the member list: an HTTP/1.1 watch, opened again whenever it ends or falls silent.
#pragma once

#include "endpoint_list.h"
#include "json_object_splitter.h"
#include "reconnect_backoff.h"
#include "revision_filter.h"

#include "net/stream.h"
#include "net/timer.h"

#include <functional>
#include <memory>
#include <string>

namespace gorsebeam::discovery {

class EndpointWatch : public net::Stream::Events {
public:
  // `known`: the list as last held.
  EndpointWatch(proxy::RequestBroker& core, std::string address, EndpointListDocument known,
                ReconnectBackoff pace);
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
  void apply(EndpointListDocument list);
  void again(const std::string& why, bool silent = false);

  proxy::RequestBroker& core_;
  std::string address_;
  std::int64_t revision_;  // up to which the next call need not tell; 0: everything, please
  std::shared_ptr<net::Stream> stream_;
  net::Timer silence_, retry_;
  ReconnectBackoff pace_;
  RevisionFilter newest_;
  JsonObjectSplitter objects_;                                // of the answer
  bool head_read_ = false, chunked_ = false, first_ = false;  // first_: of this watch's lists
  std::string told_;                                          // why it ended, as last logged
};

}  // namespace gorsebeam::discovery
