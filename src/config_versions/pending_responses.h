/// Holds the responses that are valid by themselves and refer to what another type has not brought
/// yet, at most one of each type. Pure.
#pragma once

#include "configuration.h"

#include <array>
#include <bitset>
#include <optional>
#include <string>
#include <vector>

namespace gorsebeam::config_versions {

/// A set of resource types; bit i stands for the type of index i.
using TypeSet = std::bitset<kResourceTypeCount>;

/// A response that waits for another type.
struct PendingResponse {
  DiscoveryResponse response;
  /// When the response is rejected if nothing has brought what it refers to.
  TimePoint deadline{};
  /// What it refers to, as the validator states it.
  std::string missing_reference;
};

class PendingResponses {
public:
  /// Adds a response of a known type, in place of another one of that type.
  void add(PendingResponse pending);

  /// Returns the pending response of a type, or null.
  [[nodiscard]] PendingResponse* find(ResourceType type);

  /// Removes and returns the pending response of a type, if there is one.
  std::optional<PendingResponse> remove(ResourceType type);

  /// Removes and returns those whose deadline has come, in the order of their types.
  [[nodiscard]] std::vector<PendingResponse> remove_expired(TimePoint now);

  void clear();

  /// Returns the largest set of pending responses that is valid together with `running`; the empty
  /// set if there is none.
  [[nodiscard]] TypeSet find_largest_valid_set(const Bodies& running,
                                               const Validator& validator) const;

  /// Returns the earliest deadline, or `kNever`.
  [[nodiscard]] TimePoint next_deadline() const;

private:
  [[nodiscard]] bool has_all(TypeSet types) const;
  [[nodiscard]] Bodies replace_bodies(Bodies running, TypeSet types) const;

  std::array<std::optional<PendingResponse>, kResourceTypeCount> by_type_;
};

}  // namespace gorsebeam::config_versions
