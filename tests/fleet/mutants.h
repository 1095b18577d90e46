/// Deliberately broken embeddings of the modules. The checker must detect each of them; otherwise
/// it would also miss the same fault in the real embedding.
#pragma once

#include <array>

namespace gorsebeam::simulation {

enum class Mutant {
  None,
  AcknowledgesBeforePersist,  ///< Reports each write as finished at once.
  VotesAfterStateLoss,        ///< Starts a node that lost its state with an empty state.
  LeaderSkipsWait,            ///< A new leader grants roles before the old leases have expired.
  ClockBeyondDrift,           ///< Clocks deviate by up to 30%.
  FenceDisabled,              ///< The receiver accepts any token.
};

struct NamedMutant {
  Mutant mutant;
  const char* name;
};

constexpr std::array<NamedMutant, 5> kMutants{{
    {Mutant::AcknowledgesBeforePersist, "acknowledges-before-persist"},
    {Mutant::VotesAfterStateLoss, "votes-after-state-loss"},
    {Mutant::LeaderSkipsWait, "leader-skips-wait"},
    {Mutant::ClockBeyondDrift, "clock-beyond-drift"},
    {Mutant::FenceDisabled, "fence-disabled"},
}};

}  // namespace gorsebeam::simulation
