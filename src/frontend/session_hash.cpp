#include "session_hash.h"

namespace gorsebeam::frontend {
namespace {

constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

}  // namespace

std::uint64_t hash_session_name(std::string_view name) {
  std::uint64_t hash = kFnvOffsetBasis;
  for (const char c : name)
    hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  return hash;
}

}  // namespace gorsebeam::frontend
