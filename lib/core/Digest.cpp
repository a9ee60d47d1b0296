#include "filbertvane/core/Digest.h"
#include <xxhash.h>

namespace filbertvane::core {

Digest digestOf(std::string_view Bytes, std::uint64_t Seed) {
  return Digest(XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed));
}

std::uint64_t rendezvousScore(std::string_view Key,
                              std::string_view Candidate) {
  return digestOf(Candidate, digestOf(Key).value()).value();
}

} // namespace filbertvane::core
