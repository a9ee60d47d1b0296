#include "Reducer.h"
#include <algorithm>
#include <bit>
#include <fmt/format.h>

namespace filbertvane::decision::membership {

namespace {

std::string describeMember(const Member &Which) {
  return fmt::format("{} at {} incarnation {}", Which.Node.value(),
                     Which.ControlAddress, Which.Number.value());
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
bool sameForOthers(const Member &A, const Member &B) {
  return A.Status == B.Status && A.ControlAddress == B.ControlAddress &&
         A.PeerAddress == B.PeerAddress && A.Target == B.Target &&
         A.Ready == B.Ready && sameProcess(A.Number, B.Number);
}

} // namespace

void Reducer::learn(const Member &News) {
  if (News.Node == S.Self.Node) {
    learnSelf(News);
    return;
  }
  const auto Found = S.Others.find(News.Node);
  if (Found != S.Others.end()) {
    if (supersedes(News, Found->second.Known))
      adopt(Found->second, News);
    return;
  }
  // A member that is already gone needs no place.
  if (!isLive(News) || !makeRoom())
    return;
  Entry &Place = S.Others[News.Node];
  Place.Known = News;
  Place.SendsLeft = repeats();
  setDeadline(Place);
  failOthersAt(News);
  log(observe::EventId::MemberJoined, describeMember(News));
  Changed = true;
}

void Reducer::learnSelf(const Member &News) {
  const bool FormerProcess = !sameProcess(News.Number, S.Self.Number);
  if (News.Number < S.Self.Number)
    return;
  if (FormerProcess)
    S.Self.Number = incarnationAfter(News.Number);
  else if (News.Status != MemberStatus::Alive &&
           S.Self.Status != MemberStatus::Left)
    S.Self.Number = core::Incarnation(News.Number.value() + 1);
  else
    return;
  log(observe::EventId::MemberRefuted, describeMember(S.Self));
  announceSelf();
}

bool Reducer::makeRoom() {
  if (S.Others.size() + 1 < MaxMembers)
    return true;
  // The place of the member that has been gone for longest is reused.
  auto Oldest = S.Others.end();
  for (auto One = S.Others.begin(); One != S.Others.end(); ++One)
    if (!isLive(One->second.Known) &&
        (Oldest == S.Others.end() ||
         One->second.Deadline < Oldest->second.Deadline))
      Oldest = One;
  if (Oldest != S.Others.end()) {
    S.Others.erase(Oldest);
    return true;
  }
  if (!S.FullReported)
    log(observe::EventId::MembersFull, fmt::format("{}", MaxMembers));
  S.FullReported = true;
  return false;
}

void Reducer::adopt(Entry &Place, const Member &News) {
  const Member Known = Place.Known;
  Place.Known = News;
  Place.SendsLeft = repeats();
  if (Known.Status != News.Status || Known.Number != News.Number)
    setDeadline(Place);
  if (!sameForOthers(Known, News))
    Changed = true;
  const bool NewProcess = !sameProcess(Known.Number, News.Number);
  if (isLive(Known) && (NewProcess || !isLive(News)))
    Out.push_back(MemberFailed{Known});
  if (NewProcess)
    log(observe::EventId::MemberReplaced, describeMember(News));
  else if (Known.Status != News.Status)
    log(eventOf(News.Status), describeMember(News));
  if (NewProcess && isLive(News))
    failOthersAt(News);
}

/// A new process at the address of another node proves that node gone.
void Reducer::failOthersAt(const Member &News) {
  std::vector<Member> Gone;
  for (const auto &[Node, One] : S.Others)
    if (Node != News.Node && isLive(One.Known) &&
        One.Known.ControlAddress == News.ControlAddress &&
        One.Known.Number < News.Number)
      Gone.push_back(One.Known);
  for (Member &One : Gone) {
    One.Status = MemberStatus::Failed;
    learn(One);
  }
}

void Reducer::setDeadline(Entry &Place) {
  if (Place.Known.Status == MemberStatus::Alive)
    Place.Deadline.reset();
  else if (Place.Known.Status == MemberStatus::Suspect)
    Place.Deadline = Now.Mono + SuspicionTime;
  else
    Place.Deadline = Now.Mono + TombstoneTime;
}

void Reducer::tickDeadlines() {
  std::vector<Member> Failed;
  std::vector<core::NodeId> Forgotten;
  for (const auto &[Node, One] : S.Others) {
    if (!One.Deadline || Now.Mono < *One.Deadline)
      continue;
    if (One.Known.Status == MemberStatus::Suspect)
      Failed.push_back(One.Known);
    else
      Forgotten.push_back(Node);
  }
  for (Member &One : Failed) {
    One.Status = MemberStatus::Failed;
    learn(One);
  }
  for (const core::NodeId &Node : Forgotten)
    S.Others.erase(Node);
}

std::size_t Reducer::repeats() const {
  return UpdateRepeats * std::bit_width(S.Others.size() + 1);
}

/// The own announcement first, then the updates that were sent least.
std::vector<Member> Reducer::takeUpdates() {
  std::vector<Member> Taken;
  if (S.SelfSendsLeft > 0) {
    --S.SelfSendsLeft;
    Taken.push_back(S.Self);
  }
  std::vector<Entry *> Pending;
  for (auto &[Node, One] : S.Others)
    if (One.SendsLeft > 0)
      Pending.push_back(&One);
  const std::size_t Room = UpdatesPerMessage - Taken.size();
  const std::size_t Count = std::min(Room, Pending.size());
  std::partial_sort(Pending.begin(),
                    Pending.begin() + static_cast<std::ptrdiff_t>(Count),
                    Pending.end(), [](const Entry *A, const Entry *B) {
                      return A->SendsLeft > B->SendsLeft;
                    });
  for (std::size_t I = 0; I < Count; ++I) {
    --Pending[I]->SendsLeft;
    Taken.push_back(Pending[I]->Known);
  }
  return Taken;
}

} // namespace filbertvane::decision::membership
