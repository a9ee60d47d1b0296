#include "filbertvane/decision/request/Suspects.h"
#include <algorithm>

namespace filbertvane::decision::request {

std::uint32_t Suspects::crashes(core::Digest Request,
                                core::TimePoint Now) const {
  const auto Found = Records.find(Request);
  if (Found == Records.end() || Found->second.Until <= Now)
    return 0;
  return Found->second.Crashes;
}

bool Suspects::record(core::Digest Request, std::uint32_t Crashes,
                      core::TimePoint Now) {
  Record &Entry = Records[Request];
  Entry.Crashes = std::max(Entry.Crashes, Crashes);
  Entry.Until = Now + SuspectRetention;
  if (Records.size() <= MaxEntries)
    return false;
  const auto Oldest = std::min_element(Records.begin(), Records.end(),
                                       [](const auto &A, const auto &B) {
                                         return A.second.Until < B.second.Until;
                                       });
  Records.erase(Oldest);
  return true;
}

void Suspects::expire(core::TimePoint Now) {
  std::erase_if(Records,
                [Now](const auto &Entry) { return Entry.second.Until <= Now; });
}

} // namespace filbertvane::decision::request
