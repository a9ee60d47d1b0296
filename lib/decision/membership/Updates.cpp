#include "Reducer.h"
#include <algorithm>
#include <bit>
#include <fmt/format.h>

namespace filbertvane::decision::membership {

namespace {

std::string describeMember(const Member &M) {
  return fmt::format("{} at {} incarnation {}", M.Node.value(),
                     M.ControlAddress, M.Incarnation.value());
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

/// Whether two states of a member are the same for receivers of
/// `EndpointsChanged`.
bool sameEndpoint(const Member &A, const Member &B) {
  return A.Status == B.Status && A.ControlAddress == B.ControlAddress &&
         A.PeerAddress == B.PeerAddress && A.Target == B.Target &&
         A.Ready == B.Ready && sameProcess(A.Incarnation, B.Incarnation);
}

} // namespace

void Reducer::applyUpdate(const Member &Update) {
  if (Update.Node == S.Self.Node) {
    applySelfUpdate(Update);
    return;
  }
  const auto Found = S.OtherMembers.find(Update.Node);
  if (Found != S.OtherMembers.end()) {
    if (supersedes(Update, Found->second.LastKnown))
      replaceMember(Found->second, Update);
    return;
  }
  // An unknown member is not added if it has already failed or left.
  if (!isLive(Update) || !ensureCapacity())
    return;
  MemberEntry &Entry = S.OtherMembers[Update.Node];
  Entry.LastKnown = Update;
  Entry.TransmissionsLeft = transmissionLimit();
  setDeadline(Entry);
  failOthersAtAddress(Update);
  log(observe::EventId::MemberJoined, describeMember(Update));
  Changed = true;
}

void Reducer::applySelfUpdate(const Member &Update) {
  const bool FormerProcess =
      !sameProcess(Update.Incarnation, S.Self.Incarnation);
  if (Update.Incarnation < S.Self.Incarnation)
    return;
  if (FormerProcess)
    S.Self.Incarnation = incarnationAfter(Update.Incarnation);
  else if (Update.Status != MemberStatus::Alive &&
           S.Self.Status != MemberStatus::Left)
    S.Self.Incarnation = core::Incarnation(Update.Incarnation.value() + 1);
  else
    return;
  log(observe::EventId::MemberRefuted, describeMember(S.Self));
  announceSelf();
}

bool Reducer::ensureCapacity() {
  if (S.OtherMembers.size() + 1 < MaxMembers)
    return true;
  // Evict the member that failed or left the longest time ago.
  auto Oldest = S.OtherMembers.end();
  for (auto It = S.OtherMembers.begin(); It != S.OtherMembers.end(); ++It)
    if (!isLive(It->second.LastKnown) &&
        (Oldest == S.OtherMembers.end() ||
         It->second.Deadline < Oldest->second.Deadline))
      Oldest = It;
  if (Oldest != S.OtherMembers.end()) {
    S.OtherMembers.erase(Oldest);
    return true;
  }
  if (!S.LimitReported)
    log(observe::EventId::MemberLimitReached, fmt::format("{}", MaxMembers));
  S.LimitReported = true;
  return false;
}

void Reducer::replaceMember(MemberEntry &Entry, const Member &Update) {
  const Member Previous = Entry.LastKnown;
  Entry.LastKnown = Update;
  Entry.TransmissionsLeft = transmissionLimit();
  if (Previous.Status != Update.Status ||
      Previous.Incarnation != Update.Incarnation)
    setDeadline(Entry);
  if (!sameEndpoint(Previous, Update))
    Changed = true;
  const bool NewProcess =
      !sameProcess(Previous.Incarnation, Update.Incarnation);
  if (isLive(Previous) && (NewProcess || !isLive(Update)))
    Out.push_back(MemberFailed{Previous});
  if (NewProcess)
    log(observe::EventId::MemberReplaced, describeMember(Update));
  else if (Previous.Status != Update.Status)
    log(eventOf(Update.Status), describeMember(Update));
  if (NewProcess && isLive(Update))
    failOthersAtAddress(Update);
}

/// A newer process at the address of another node proves that the other one has
/// ended.
void Reducer::failOthersAtAddress(const Member &Update) {
  std::vector<Member> Replaced;
  for (const auto &[Node, Entry] : S.OtherMembers)
    if (Node != Update.Node && isLive(Entry.LastKnown) &&
        Entry.LastKnown.ControlAddress == Update.ControlAddress &&
        Entry.LastKnown.Incarnation < Update.Incarnation)
      Replaced.push_back(Entry.LastKnown);
  for (Member &M : Replaced) {
    M.Status = MemberStatus::Failed;
    applyUpdate(M);
  }
}

void Reducer::setDeadline(MemberEntry &Entry) {
  if (Entry.LastKnown.Status == MemberStatus::Alive)
    Entry.Deadline.reset();
  else if (Entry.LastKnown.Status == MemberStatus::Suspect)
    Entry.Deadline = Now.Mono + SuspicionTimeout;
  else
    Entry.Deadline = Now.Mono + TombstoneLifetime;
}

void Reducer::tickDeadlines() {
  std::vector<Member> Failed;
  std::vector<core::NodeId> Expired;
  for (const auto &[Node, Entry] : S.OtherMembers) {
    if (!Entry.Deadline || Now.Mono < *Entry.Deadline)
      continue;
    if (Entry.LastKnown.Status == MemberStatus::Suspect)
      Failed.push_back(Entry.LastKnown);
    else
      Expired.push_back(Node);
  }
  for (Member &M : Failed) {
    M.Status = MemberStatus::Failed;
    applyUpdate(M);
  }
  for (const core::NodeId &Node : Expired)
    S.OtherMembers.erase(Node);
}

std::size_t Reducer::transmissionLimit() const {
  return RetransmitMultiplier * std::bit_width(S.OtherMembers.size() + 1);
}

/// Selects the state of this node first, then the updates that were sent least
/// often.
std::vector<Member> Reducer::selectUpdates() {
  std::vector<Member> Selected;
  if (S.SelfTransmissionsLeft > 0) {
    --S.SelfTransmissionsLeft;
    Selected.push_back(S.Self);
  }
  std::vector<MemberEntry *> Pending;
  for (auto &[Node, Entry] : S.OtherMembers)
    if (Entry.TransmissionsLeft > 0)
      Pending.push_back(&Entry);
  const std::size_t Room = MaxUpdatesPerMessage - Selected.size();
  const std::size_t Count = std::min(Room, Pending.size());
  std::partial_sort(
      Pending.begin(), Pending.begin() + static_cast<std::ptrdiff_t>(Count),
      Pending.end(), [](const MemberEntry *A, const MemberEntry *B) {
        return A->TransmissionsLeft > B->TransmissionsLeft;
      });
  for (std::size_t I = 0; I < Count; ++I) {
    --Pending[I]->TransmissionsLeft;
    Selected.push_back(Pending[I]->LastKnown);
  }
  return Selected;
}

} // namespace filbertvane::decision::membership
