/// The request that a protocol's parser found in a client's message, before admission. Performs no
/// I/O.
#pragma once

#include "gorsebeam/router.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gorsebeam::frontend {

/// A request class that was found by its name.
struct NamedClass {
  std::size_t index;  ///< The index into `Settings::classes`.
  const RequestClass& settings;
};

/// The request classes that requests may name. Borrows both containers.
class RequestClasses {
public:
  RequestClasses(const std::map<std::string, std::size_t>& indexes,
                 const std::vector<RequestClass>& classes)
      : indexes_(indexes), classes_(classes) {}

  [[nodiscard]] std::optional<NamedClass> find(const std::string& name) const;

private:
  const std::map<std::string, std::size_t>& indexes_;
  const std::vector<RequestClass>& classes_;
};

[[nodiscard]] bool is_write(const RequestClass& request_class);

/// Whether requests of the class belong to a session: writes, and reads that must see them.
[[nodiscard]] bool belongs_to_session(const RequestClass& request_class);

/// A well-formed request of a client.
struct ParsedRequest {
  Request request;        ///< Its deadline and the limits of the contract are unset.
  Duration time_limit{};  ///< How long the client waits from the arrival of the request.
  /// Whether it gets only one attempt, as its effect is not known, even if the contract permits
  /// more.
  bool is_single_attempt = false;
};

}  // namespace gorsebeam::frontend
