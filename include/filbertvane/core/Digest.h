#ifndef FILBERTVANE_CORE_DIGEST_H
#define FILBERTVANE_CORE_DIGEST_H

#include "filbertvane/core/StrongId.h"
#include <cstdint>
#include <string_view>

namespace filbertvane::core {

using Digest = StrongId<struct DigestTag, std::uint64_t>;

/// @brief 64-bit xxHash (XXH3) of a byte string.
/// @param Bytes input
/// @param Seed makes the hashes of different uses independent
/// Complexity: linear in the length.
Digest digestOf(std::string_view Bytes, std::uint64_t Seed = 0);

/// @brief Score of a candidate for a key in rendezvous hashing.
///
/// The candidate with the highest score owns the key. Removing a candidate
/// reassigns only the keys that it owned.
std::uint64_t rendezvousScore(std::string_view Key, std::string_view Candidate);

} // namespace filbertvane::core

#endif // FILBERTVANE_CORE_DIGEST_H
