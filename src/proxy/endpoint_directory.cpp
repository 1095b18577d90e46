#include "endpoint_directory.h"

#include <cstddef>
#include <cstdint>

namespace gorsebeam::proxy {
namespace {

// The router uses this id to mean that there is no endpoint.
constexpr EndpointId kReservedEndpointId = 0xffffffff;
constexpr std::size_t kIdDigits = 8;  // the hexadecimal digits of a 32-bit id

/// The 32-bit FNV-1a hash of `text`.
std::uint32_t hash_of(const std::string& text) {
  constexpr std::uint32_t kOffsetBasis = 2166136261;
  constexpr std::uint32_t kPrime = 16777619;
  std::uint32_t hash = kOffsetBasis;
  for (const char c : text)
    hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  return hash;
}

EndpointId preferred_endpoint_id(const std::string& name) {
  if (name.size() <= kIdDigits)
    return hash_of(name);
  const std::string suffix = name.substr(name.size() - kIdDigits);
  if (suffix.find_first_not_of("0123456789abcdef") != std::string::npos)
    return hash_of(name);
  return static_cast<EndpointId>(std::stoul(suffix, nullptr, 16));
}

}  // namespace

EndpointId EndpointDirectory::assign_id(const std::string& name) {
  const auto known = ids_.find(name);
  if (known != ids_.end()) {
    released_.erase(known->second);
    return known->second;
  }
  EndpointId id = preferred_endpoint_id(name);
  while (id == kReservedEndpointId || names_.count(id) > 0)
    ++id;
  ids_[name] = id;
  names_[id] = name;
  return id;
}

void EndpointDirectory::release_id(EndpointId endpoint) {
  if (names_.count(endpoint) > 0)
    released_.insert(endpoint);
}

void EndpointDirectory::forget_released(const std::function<bool(EndpointId)>& is_in_use) {
  for (auto it = released_.begin(); it != released_.end();) {
    const EndpointId id = *it;
    if (is_in_use(id)) {
      ++it;
      continue;
    }
    const auto name = names_.find(id);
    ids_.erase(name->second);
    names_.erase(name);
    it = released_.erase(it);
  }
}

std::vector<EndpointId> EndpointDirectory::ids_except(const std::set<std::string>& names) const {
  std::vector<EndpointId> others;
  for (const auto& [id, name] : names_) {
    if (names.count(name) == 0 && released_.count(id) == 0)
      others.push_back(id);
  }
  return others;
}

}  // namespace gorsebeam::proxy
