#include "validation.h"
#include "validation_helpers.h"

#include "net/stream.h"

#include <array>

namespace gorsebeam::config {
namespace {

constexpr std::size_t kMaxAddresses = 16;

std::optional<ValidationError> validate_addresses(const pb::ControlService& service) {
  if (service.address().empty())
    return ValidationError{{}, "names no address; give at least one"};
  if (static_cast<std::size_t>(service.address_size()) > kMaxAddresses)
    return ValidationError{{{"address", -1}}, "names more than 16 addresses; name fewer"};
  for (int i = 0; i < service.address_size(); ++i)
    if (!net::parse_address(service.address(i)))
      return ValidationError{{{"address", i}},
                             "'" + service.address(i) +
                                 "' is no numeric address and port; write it as 127.0.0.1:18000"};
  return std::nullopt;
}

}  // namespace

std::optional<ValidationError> validate_resource(const pb::Limits& limits,
                                                 const ValidationContext& /*context*/) {
  if (auto error = validate_generation(limits.generation(), limits.rolls_back()))
    return error;

  struct Bound {
    const char* field;
    std::uint32_t value;
    std::uint32_t min;
    std::uint32_t max;
  };

  const std::array<Bound, 4> bounds = {
      {{"client_connections", limits.client_connections(), 8, 1'000'000},
       {"member_connections", limits.member_connections(), 8, 1'000'000},
       {"message_kib", limits.message_kib(), 64, 16 * 1024},
       {"buffered_mib", limits.buffered_mib(), 1, 1'000'000}}};
  for (const Bound& bound : bounds)
    if (bound.value != 0 && (bound.value < bound.min || bound.value > bound.max))
      return ValidationError{{{bound.field, -1}},
                             "is out of range; give " + std::to_string(bound.min) + " to " +
                                 std::to_string(bound.max) + ", or leave it out"};
  return std::nullopt;
}

std::optional<ValidationError> validate_control_service(const pb::ControlService& service) {
  if (auto error = validate_addresses(service))
    return error;
  if (auto error = validate_name(service.node(), {{"node", -1}}))
    return error;

  struct Bound {
    const char* field;
    std::uint32_t value_ms;
    std::uint32_t min_ms;
  };

  const std::array<Bound, 3> bounds = {{{"reconnect_most_ms", service.reconnect_most_ms(), 50},
                                        {"silence_ms", service.silence_ms(), 100},
                                        {"hold_ms", service.hold_ms(), 10}}};
  for (const Bound& bound : bounds)
    if (bound.value_ms != 0 && (bound.value_ms < bound.min_ms || bound.value_ms > kMaxDurationMs))
      return ValidationError{{{bound.field, -1}},
                             "is out of range; give " + std::to_string(bound.min_ms) +
                                 " to 3600000 ms"};
  return std::nullopt;
}

}  // namespace gorsebeam::config
