#include "pending_responses.h"

#include <algorithm>
#include <utility>

namespace gorsebeam::config_versions {
namespace {

constexpr std::array<unsigned, 7> kTypeSetsLargestFirst = {0b111, 0b011, 0b101, 0b110,
                                                           0b001, 0b010, 0b100};
static_assert(kResourceTypeCount == 3, "kTypeSetsLargestFirst lists the subsets of three types");

}  // namespace

void PendingResponses::add(PendingResponse pending) {
  by_type_[index_of(*pending.response.type)] = std::move(pending);
}

PendingResponse* PendingResponses::find(ResourceType type) {
  std::optional<PendingResponse>& pending = by_type_[index_of(type)];
  return pending ? &*pending : nullptr;
}

std::optional<PendingResponse> PendingResponses::remove(ResourceType type) {
  return std::exchange(by_type_[index_of(type)], std::nullopt);
}

std::vector<PendingResponse> PendingResponses::remove_expired(TimePoint now) {
  std::vector<PendingResponse> expired;
  for (std::optional<PendingResponse>& pending : by_type_) {
    if (!pending || now < pending->deadline)
      continue;
    expired.push_back(std::move(*pending));
    pending.reset();
  }
  return expired;
}

void PendingResponses::clear() {
  for (std::optional<PendingResponse>& pending : by_type_)
    pending.reset();
}

TypeSet PendingResponses::find_largest_valid_set(const Bodies& running,
                                                 const Validator& validator) const {
  for (const unsigned bits : kTypeSetsLargestFirst) {
    const TypeSet types(bits);
    if (has_all(types) && !validator(replace_bodies(running, types)))
      return types;
  }
  return {};
}

TimePoint PendingResponses::next_deadline() const {
  TimePoint deadline = kNever;
  for (const std::optional<PendingResponse>& pending : by_type_)
    if (pending)
      deadline = std::min(deadline, pending->deadline);
  return deadline;
}

bool PendingResponses::has_all(TypeSet types) const {
  for (std::size_t i = 0; i < kResourceTypeCount; ++i)
    if (types[i] && !by_type_[i])
      return false;
  return true;
}

Bodies PendingResponses::replace_bodies(Bodies running, TypeSet types) const {
  for (std::size_t i = 0; i < kResourceTypeCount; ++i)
    if (types[i])
      running[i] = by_type_[i]->response.body;
  return running;
}

}  // namespace gorsebeam::config_versions
