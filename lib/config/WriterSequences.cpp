#include "WriterSequences.h"
#include <algorithm>

namespace filbertvane::config {

namespace {

void evictLowestSequence(
    std::map<core::WriterId, std::uint64_t> &LastSequences) {
  const auto Lowest = std::min_element(
      LastSequences.begin(), LastSequences.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  LastSequences.erase(Lowest);
}

} // namespace

bool recordSequence(std::map<core::WriterId, std::uint64_t> &LastSequences,
                    const core::WriterId &Writer, std::uint64_t Sequence) {
  const auto Found = LastSequences.find(Writer);
  if (Found != LastSequences.end()) {
    if (Sequence <= Found->second)
      return false;
    Found->second = Sequence;
    return true;
  }
  if (LastSequences.size() >= MaxWriters)
    evictLowestSequence(LastSequences);
  LastSequences.emplace(Writer, Sequence);
  return true;
}

} // namespace filbertvane::config
