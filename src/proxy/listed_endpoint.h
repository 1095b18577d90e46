/// An endpoint as discovery or an inventory lists it.
#pragma once

#include "gorsebeam/events.h"

#include <string>

namespace gorsebeam::proxy {

struct ListedEndpoint {
  std::string name;
  std::string address;  ///< Such as "127.0.0.4:6432".
  Endpoint endpoint;    ///< Its id is unset; the gateway derives it from the name.
};

}  // namespace gorsebeam::proxy
