#include "sent_requests.h"

#include <xxhash.h>

#include <algorithm>
#include <string_view>

namespace gorsebeam::proxy {
namespace {

// A request can be held up between its client and the gateway.
constexpr Duration kRetentionMargin = 1000ms;

std::uint64_t hash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

Duration longest_deduplication_window(const Settings& settings) {
  Duration longest{};
  for (const RequestClass& request_class : settings.classes)
    if (request_class.idempotency == Idempotency::IdempotencyKey)
      longest = std::max(longest, request_class.deduplication_window);
  return longest;
}

}  // namespace

SentRequests::SentRequests(const Settings& settings, std::uint64_t seed, std::size_t max_entries)
    : settings_(settings), seed_(seed), max_entries_(max_entries),
      retention_(longest_deduplication_window(settings) + longest_deadline(settings) +
                 kRetentionMargin) {}

// Ids and keys are hashed with different seeds, so that an id is not found as a key.
SentRequestKeys SentRequests::keys_of(const Request& request) const {
  SentRequestKeys keys;
  keys.id = hash(request.id, seed_);
  const RequestClass& request_class = settings_.classes.at(request.class_index);
  const bool has_key =
      request_class.idempotency == Idempotency::IdempotencyKey && !request.idempotency_key.empty();
  if (has_key)
    keys.idempotency_key = hash(request.idempotency_key, seed_ + 1) ^ request.group;
  return keys;
}

bool SentRequests::may_reuse_id(const Request& request, const RequestClass& settings) {
  return request.id_names_retries && settings.idempotency != Idempotency::NotIdempotent;
}

RepetitionCheck SentRequests::check(const Request& request, const SentRequestKeys& keys,
                                    TimePoint now) {
  drop_expired(now);
  const RequestClass& request_class = settings_.classes.at(request.class_index);
  const EarlierAttempt* const under_key =
      keys.idempotency_key ? find(*keys.idempotency_key) : nullptr;
  const bool is_id_used = find(keys.id) != nullptr;
  if (is_id_used && !may_reuse_id(request, request_class))
    return {Repetition::IdUsed, std::nullopt};
  // Under another key endpoints would not discard the repeat.
  const bool has_keys = request_class.idempotency == Idempotency::IdempotencyKey;
  if (is_id_used && has_keys && under_key == nullptr)
    return {Repetition::IdUsed, std::nullopt};
  if (under_key == nullptr)
    return {is_id_used ? Repetition::Permitted : Repetition::None, std::nullopt};
  if (now - under_key->sent_at >= request_class.deduplication_window)
    return {Repetition::KeyExpired, std::nullopt};
  return {Repetition::Permitted, *under_key};
}

void SentRequests::record_attempt(const SentRequestKeys& keys, EndpointId endpoint, TimePoint now) {
  drop_expired(now);
  remember(keys.id, {now, endpoint});
  if (keys.idempotency_key)
    remember(*keys.idempotency_key, {now, endpoint});
}

void SentRequests::forget_attempt(const SentRequestKeys& keys, TimePoint sent_at) {
  forget(keys.id, sent_at);
  if (keys.idempotency_key)
    forget(*keys.idempotency_key, sent_at);
}

// The first attempt is kept: it determines the deduplication window.
void SentRequests::remember(std::uint64_t key, const EarlierAttempt& attempt) {
  if (!attempts_.emplace(key, attempt).second)
    return;
  expiries_.push_back({key, attempt.sent_at});
  if (expiries_.size() > max_entries_)
    drop_oldest();
}

void SentRequests::forget(std::uint64_t key, TimePoint sent_at) {
  const auto found = attempts_.find(key);
  if (found != attempts_.end() && found->second.sent_at == sent_at)
    attempts_.erase(found);
}

void SentRequests::drop_expired(TimePoint now) {
  while (!expiries_.empty() && now - expiries_.front().sent_at > retention_)
    drop_oldest();
}

void SentRequests::drop_oldest() {
  const Expiry oldest = expiries_.front();
  expiries_.pop_front();
  forget(oldest.key, oldest.sent_at);
}

const EarlierAttempt* SentRequests::find(std::uint64_t key) const {
  const auto found = attempts_.find(key);
  return found == attempts_.end() ? nullptr : &found->second;
}

}  // namespace gorsebeam::proxy
