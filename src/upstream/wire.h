// One connection's share of a member protocol: how it is opened, how a request is framed, what an
// answer says.
#pragma once

#include "broker/ports.h"

#include <memory>
#include <string>
#include <string_view>

namespace gorsebeam::upstream {

enum class Step { More, Done, Broken };

class Wire {
public:
  virtual ~Wire() = default;
  virtual std::string greeting() = 0;  // the first bytes; none: ready as soon as connected
  // Reads what answers the greeting. Done: ready, or `turned_away` when the member takes no
  // connection.
  virtual Step welcome(std::string_view in, std::size_t& used, bool& turned_away) = 0;
  virtual broker::Parts request(const broker::Parts& body) = 0;  // framed; good until the next call
  virtual broker::Parts probe() = 0;
  // Reads an answer from its first byte on, in place. `ended`: no more will come. Broken: no answer
  // at all.
  virtual Step answer(std::string_view in, bool ended, bool to_probe, broker::Answer& answer,
                      std::size_t& used) = 0;
};

using WireFactory = std::unique_ptr<Wire> (*)();

}  // namespace gorsebeam::upstream
