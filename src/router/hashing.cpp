#include "router/hashing.h"

namespace gorsebeam::router {

std::uint64_t mix_hash(std::uint64_t key) {
  key += 0x9e3779b97f4a7c15ULL;
  key = (key ^ (key >> 30)) * 0xbf58476d1ce4e5b9ULL;
  key = (key ^ (key >> 27)) * 0x94d049bb133111ebULL;
  return key ^ (key >> 31);
}

double unit_interval(std::uint64_t key) {
  constexpr double kTwoToThe53 = 9007199254740992.0;
  return static_cast<double>(mix_hash(key) >> 11) / kTwoToThe53;
}

std::uint64_t hash_text(const std::string& text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text)
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return mix_hash(hash);
}

}  // namespace gorsebeam::router
