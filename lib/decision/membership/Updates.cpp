#include "Reducer.h"
#include <algorithm>
#include <bit>
#include <fmt/format.h>

namespace filbertvane::decision::membership {

namespace {

std::string describeMember(const Member &Which) {
  return fmt::format("{} at {} incarnation {}", Which.Node.value(),
                     Which.ControlAddress, Which.Incarnation.value());
}

observe::EventId eventOf(MemberStatus Status) {
  switch (Status) {
  case MemberStatus::Alive:
    return observe::EventId::MemberJoined;
  case MemberStatus::Suspect:
    return observe::EventId::MemberSuspected;
  case MemberStatus::Failed:
    return observe::EventId::MemberFailed;
  case MemberStatus::Left:
    return observe::EventId::MemberLeft;
  }
  return observe::EventId::MemberFailed;
}

/// Whether a difference matters to those who use the member.
bool sameEndpoint(const Member &A, const Member &B) {
  return A.Status == B.Status && A.ControlAddress == B.ControlAddress &&
         A.PeerAddress == B.PeerAddress && A.Target == B.Target &&
         A.Ready == B.Ready && sameProcess(A.Incarnation, B.Incarnation);
}

} // namespace

void Reducer::applyUpdate(const Member &News) {
  if (News.Node == S.Self.Node) {
    applyOwnUpdate(News);
    return;
  }
  const auto Found = S.OtherMembers.find(News.Node);
  if (Found != S.OtherMembers.end()) {
    if (supersedes(News, Found->second.LastKnown))
      replaceMember(Found->second, News);
    return;
  }
  // A member that is already gone needs no place.
  if (!isLive(News) || !ensureCapacity())
    return;
  MemberEntry &Place = S.OtherMembers[News.Node];
  Place.LastKnown = News;
  Place.TransmissionsLeft = transmissionLimit();
  setDeadline(Place);
  failOthersAtAddress(News);
  log(observe::EventId::MemberJoined, describeMember(News));
  Changed = true;
}

void Reducer::applyOwnUpdate(const Member &News) {
  const bool FormerProcess = !sameProcess(News.Incarnation, S.Self.Incarnation);
  if (News.Incarnation < S.Self.Incarnation)
    return;
  if (FormerProcess)
    S.Self.Incarnation = incarnationAfter(News.Incarnation);
  else if (News.Status != MemberStatus::Alive &&
           S.Self.Status != MemberStatus::Left)
    S.Self.Incarnation = core::Incarnation(News.Incarnation.value() + 1);
  else
    return;
  log(observe::EventId::MemberRefuted, describeMember(S.Self));
  announceSelf();
}

bool Reducer::ensureCapacity() {
  if (S.OtherMembers.size() + 1 < MaxMembers)
    return true;
  // The place of the member that has been gone for longest is reused.
  auto Oldest = S.OtherMembers.end();
  for (auto One = S.OtherMembers.begin(); One != S.OtherMembers.end(); ++One)
    if (!isLive(One->second.LastKnown) &&
        (Oldest == S.OtherMembers.end() ||
         One->second.Deadline < Oldest->second.Deadline))
      Oldest = One;
  if (Oldest != S.OtherMembers.end()) {
    S.OtherMembers.erase(Oldest);
    return true;
  }
  if (!S.LimitReported)
    log(observe::EventId::MemberLimitReached, fmt::format("{}", MaxMembers));
  S.LimitReported = true;
  return false;
}

void Reducer::replaceMember(MemberEntry &Place, const Member &News) {
  const Member Known = Place.LastKnown;
  Place.LastKnown = News;
  Place.TransmissionsLeft = transmissionLimit();
  if (Known.Status != News.Status || Known.Incarnation != News.Incarnation)
    setDeadline(Place);
  if (!sameEndpoint(Known, News))
    Changed = true;
  const bool NewProcess = !sameProcess(Known.Incarnation, News.Incarnation);
  if (isLive(Known) && (NewProcess || !isLive(News)))
    Out.push_back(MemberFailed{Known});
  if (NewProcess)
    log(observe::EventId::MemberReplaced, describeMember(News));
  else if (Known.Status != News.Status)
    log(eventOf(News.Status), describeMember(News));
  if (NewProcess && isLive(News))
    failOthersAtAddress(News);
}

/// A new process at the address of another node proves that node gone.
void Reducer::failOthersAtAddress(const Member &News) {
  std::vector<Member> Gone;
  for (const auto &[Node, One] : S.OtherMembers)
    if (Node != News.Node && isLive(One.LastKnown) &&
        One.LastKnown.ControlAddress == News.ControlAddress &&
        One.LastKnown.Incarnation < News.Incarnation)
      Gone.push_back(One.LastKnown);
  for (Member &One : Gone) {
    One.Status = MemberStatus::Failed;
    applyUpdate(One);
  }
}

void Reducer::setDeadline(MemberEntry &Place) {
  if (Place.LastKnown.Status == MemberStatus::Alive)
    Place.Deadline.reset();
  else if (Place.LastKnown.Status == MemberStatus::Suspect)
    Place.Deadline = Now.Mono + SuspicionTimeout;
  else
    Place.Deadline = Now.Mono + TombstoneLifetime;
}

void Reducer::tickDeadlines() {
  std::vector<Member> Failed;
  std::vector<core::NodeId> Forgotten;
  for (const auto &[Node, One] : S.OtherMembers) {
    if (!One.Deadline || Now.Mono < *One.Deadline)
      continue;
    if (One.LastKnown.Status == MemberStatus::Suspect)
      Failed.push_back(One.LastKnown);
    else
      Forgotten.push_back(Node);
  }
  for (Member &One : Failed) {
    One.Status = MemberStatus::Failed;
    applyUpdate(One);
  }
  for (const core::NodeId &Node : Forgotten)
    S.OtherMembers.erase(Node);
}

std::size_t Reducer::transmissionLimit() const {
  return RetransmitMultiplier * std::bit_width(S.OtherMembers.size() + 1);
}

/// The own announcement first, then the updates that were sent least.
std::vector<Member> Reducer::selectUpdates() {
  std::vector<Member> Taken;
  if (S.SelfTransmissionsLeft > 0) {
    --S.SelfTransmissionsLeft;
    Taken.push_back(S.Self);
  }
  std::vector<MemberEntry *> Pending;
  for (auto &[Node, One] : S.OtherMembers)
    if (One.TransmissionsLeft > 0)
      Pending.push_back(&One);
  const std::size_t Room = MaxUpdatesPerMessage - Taken.size();
  const std::size_t Count = std::min(Room, Pending.size());
  std::partial_sort(
      Pending.begin(), Pending.begin() + static_cast<std::ptrdiff_t>(Count),
      Pending.end(), [](const MemberEntry *A, const MemberEntry *B) {
        return A->TransmissionsLeft > B->TransmissionsLeft;
      });
  for (std::size_t I = 0; I < Count; ++I) {
    --Pending[I]->TransmissionsLeft;
    Taken.push_back(Pending[I]->LastKnown);
  }
  return Taken;
}

} // namespace filbertvane::decision::membership
