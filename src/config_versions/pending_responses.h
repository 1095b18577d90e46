/// Holds responses that are valid by themselves but not together with the running versions, because
/// they wait for a response of another type. There is at most one of each type. The class does no
/// I/O and reads no clock.
#pragma once

#include "configuration.h"

#include <array>
#include <bitset>
#include <optional>
#include <string>
#include <vector>

namespace gorsebeam::config_versions {

/// A set of resource types; bit i stands for the type with index i.
using TypeSet = std::bitset<kResourceTypeCount>;

/// A response that waits for a response of another type.
struct PendingResponse {
  DiscoveryResponse response;
  /// The time at which the response is rejected if it is still not valid with the other types.
  TimePoint deadline{};
  /// The validator's message about the reference that no version of another type defines yet.
  std::string missing_reference;
};

class PendingResponses {
public:
  /// Adds a response of a known type. It replaces the pending response of the same type.
  void add(PendingResponse pending);

  /// Returns the pending response of a type, or null.
  [[nodiscard]] PendingResponse* find(ResourceType type);

  /// Removes and returns the pending response of a type, if there is one.
  std::optional<PendingResponse> remove(ResourceType type);

  /// Removes and returns the responses whose deadline has passed, in the order of their types.
  [[nodiscard]] std::vector<PendingResponse> remove_expired(TimePoint now);

  void clear();

  /// Returns the types of the largest set of pending responses that is valid together with the
  /// `running` bodies of the other types; the empty set if there is none.
  [[nodiscard]] TypeSet find_largest_valid_set(const Bodies& running,
                                               const Validator& validator) const;

  /// Returns the earliest deadline, or `kNever` if no response is pending.
  [[nodiscard]] TimePoint next_deadline() const;

private:
  [[nodiscard]] bool has_all(TypeSet types) const;
  [[nodiscard]] Bodies replace_bodies(Bodies running, TypeSet types) const;

  std::array<std::optional<PendingResponse>, kResourceTypeCount> by_type_;
};

}  // namespace gorsebeam::config_versions
