#include "generation_order.h"

#include <string>

namespace gorsebeam::config_versions {
namespace {

using Code = RejectionError::Code;

std::optional<RejectionError> check_rollback(const AcceptedVersion& accepted,
                                             const DiscoveryResponse& response) {
  if (response.rolls_back >= accepted.newest_generation)
    return std::nullopt;
  return RejectionError{Code::OutdatedRollback, "it rolls back generation " +
                                                    std::to_string(response.rolls_back) + ", but " +
                                                    std::to_string(accepted.newest_generation) +
                                                    " is the newest accepted"};
}

}  // namespace

std::optional<RejectionError> check_generation_order(const AcceptedVersion& accepted,
                                                     const DiscoveryResponse& response) {
  if (response.generation == 0)
    return RejectionError{Code::MissingGeneration, "it has no generation; number changes from 1"};
  if (response.rolls_back != 0)
    return check_rollback(accepted, response);
  if (response.generation > accepted.newest_generation)
    return std::nullopt;
  const std::string generation = "generation " + std::to_string(response.generation);
  if (response.generation < accepted.newest_generation)
    return RejectionError{Code::OlderGeneration, generation + " is older than " +
                                                     std::to_string(accepted.newest_generation) +
                                                     ", the newest accepted"};
  if (accepted.running.generation < accepted.newest_generation)
    return RejectionError{Code::RolledBackGeneration, generation + " was rolled back"};
  return RejectionError{Code::ConflictingContent, generation + " came before with other content"};
}

}  // namespace gorsebeam::config_versions
