#include "filbertvane/decision/request/Suspects.h"
#include <algorithm>

namespace filbertvane::decision::request {

std::uint32_t Suspects::crashes(core::Digest Request,
                                core::TimePoint Now) const {
  const auto Found = Known.find(Request);
  if (Found == Known.end() || Found->second.Until <= Now)
    return 0;
  return Found->second.Crashes;
}

bool Suspects::note(core::Digest Request, std::uint32_t Crashes,
                    core::TimePoint Now) {
  Record &Entry = Known[Request];
  Entry.Crashes = std::max(Entry.Crashes, Crashes);
  Entry.Until = Now + SuspectTime;
  if (Known.size() <= Most)
    return false;
  const auto Oldest = std::min_element(Known.begin(), Known.end(),
                                       [](const auto &A, const auto &B) {
                                         return A.second.Until < B.second.Until;
                                       });
  Known.erase(Oldest);
  return true;
}

void Suspects::expire(core::TimePoint Now) {
  std::erase_if(Known,
                [Now](const auto &Entry) { return Entry.second.Until <= Now; });
}

} // namespace filbertvane::decision::request
