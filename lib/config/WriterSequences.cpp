#include "WriterSequences.h"
#include <algorithm>

namespace filbertvane::config {

namespace {

void forgetLowest(std::map<core::WriterId, std::uint64_t> &Last) {
  const auto Lowest = std::min_element(
      Last.begin(), Last.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  Last.erase(Lowest);
}

} // namespace

bool noteSequence(std::map<core::WriterId, std::uint64_t> &Last,
                  const core::WriterId &Writer, std::uint64_t Sequence) {
  const auto Found = Last.find(Writer);
  if (Found != Last.end()) {
    if (Sequence <= Found->second)
      return false;
    Found->second = Sequence;
    return true;
  }
  if (Last.size() >= MaxWriters)
    forgetLowest(Last);
  Last.emplace(Writer, Sequence);
  return true;
}

} // namespace filbertvane::config
