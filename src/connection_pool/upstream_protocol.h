// One connection's share of a member protocol: how it is opened, how a request is framed, what an
// answer says.
#pragma once

#include "proxy/interfaces.h"

#include <memory>
#include <string>
#include <string_view>

namespace gorsebeam::connection_pool {

enum class ParseStep { More, Done, Broken };

class UpstreamProtocol {
public:
  virtual ~UpstreamProtocol() = default;
  virtual std::string greeting() = 0;  // the first bytes; none: ready as soon as connected
  // Reads what answers the greeting. Done: ready, or `turned_away` when the member takes no
  // connection.
  virtual ParseStep parse_greeting(std::string_view in, std::size_t& used, bool& turned_away) = 0;
  virtual proxy::Parts request(const proxy::Parts& body) = 0;  // framed; good until the next call
  virtual proxy::Parts probe() = 0;
  // Reads an answer from its first byte on, in place. `ended`: no more will come. Broken: no answer
  // at all.
  virtual ParseStep answer(std::string_view in, bool ended, bool to_probe,
                           proxy::UpstreamResponse& answer, std::size_t& used) = 0;
};

using WireFactory = std::unique_ptr<UpstreamProtocol> (*)();

}  // namespace gorsebeam::connection_pool
