/// Finds the request that a router's event or action names. Pure.
#pragma once

#include "gorsebeam/actions.h"
#include "gorsebeam/events.h"

#include <string>
#include <type_traits>
#include <variant>

namespace gorsebeam::proxy {

/// The id of the request that an event or action names; empty if it names none.
template <typename Content>
std::string request_id_of(const Content& content) {
  if constexpr (std::is_same_v<Content, Request>)
    return content.id;
  else if constexpr (std::is_same_v<Content, AttemptResult> ||
                     std::is_same_v<Content, ClientDisconnected> ||
                     std::is_same_v<Content, StartAttempt> ||
                     std::is_same_v<Content, CancelAttempt> ||
                     std::is_same_v<Content, RejectRequest> || std::is_same_v<Content, FailRequest>)
    return content.request_id;
  else
    return "";
}

template <typename... Contents>
std::string request_id_of(const std::variant<Contents...>& variant) {
  return std::visit(
      [](const auto& content) {
        return request_id_of(content);
      },
      variant);
}

}  // namespace gorsebeam::proxy
