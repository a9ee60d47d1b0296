#include "filbertvane/decision/membership/Member.h"
#include <tuple>

namespace filbertvane::decision::membership {

bool isLive(const Member &M) {
  return M.Status == MemberStatus::Alive || M.Status == MemberStatus::Suspect;
}

bool supersedes(const Member &Update, const Member &Known) {
  return std::tie(Update.Incarnation, Update.Revision, Update.Status) >
         std::tie(Known.Incarnation, Known.Revision, Known.Status);
}

core::Incarnation firstIncarnation(core::WallTime Started) {
  const auto Millis = Started.time_since_epoch().count();
  const auto Process = static_cast<std::uint64_t>(Millis > 0 ? Millis : 1);
  return core::Incarnation(Process << RefutationBits);
}

core::Incarnation incarnationAfter(core::Incarnation Former) {
  const std::uint64_t Process = Former.value() >> RefutationBits;
  return core::Incarnation((Process + 1) << RefutationBits);
}

bool sameProcess(core::Incarnation A, core::Incarnation B) {
  return A.value() >> RefutationBits == B.value() >> RefutationBits;
}

} // namespace filbertvane::decision::membership
