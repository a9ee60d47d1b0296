#include "filbertvane/decision/rollout/Evidence.h"
#include <algorithm>

namespace filbertvane::decision::rollout {

bool watched(const config::MoveStatus &Move, core::WallTime Now) {
  if (Move.Stage == config::MoveStage::InProgress)
    return true;
  return Move.Stage == config::MoveStage::Completed && Move.EndedAt &&
         Now < *Move.EndedAt + WatchAfterCompletion;
}

namespace {

/// Newest watched move that an answer's version belongs to.
const config::MoveStatus *moveOf(const request::ObservedAnswer &Answer,
                                 const config::FleetState &Fleet,
                                 core::WallTime Now) {
  const auto Found =
      std::find_if(Fleet.Moves.rbegin(), Fleet.Moves.rend(),
                   [&](const config::MoveStatus &Move) {
                     return Move.Id.Service == Answer.Service &&
                            Move.Stage != config::MoveStage::Superseded;
                   });
  if (Found == Fleet.Moves.rend() || !watched(*Found, Now))
    return nullptr;
  const bool Concerned =
      Answer.Version == Found->From || Answer.Version == Found->Order.To;
  return Concerned ? &*Found : nullptr;
}

} // namespace

bool CrashMemory::isNew(core::Digest Request) {
  if (std::find(Seen.begin(), Seen.end(), Request) != Seen.end())
    return false;
  Seen.push_back(Request);
  if (Seen.size() > Limit)
    Seen.erase(Seen.begin());
  return true;
}

void list(Evidence &Report, const config::MoveId &Move,
          const core::RouteName &Route, const Crash &Added) {
  std::vector<Crash> &Crashes = Report.Crashes[Move][Route];
  Crashes.push_back(Added);
  if (Crashes.size() > MaxCrashes)
    Crashes.erase(Crashes.begin());
}

void NodeCounter::noteShares(const config::FleetState &Fleet,
                             core::TimePoint Now) {
  std::erase_if(WarmFrom, [&](const auto &Entry) {
    return std::none_of(Fleet.Moves.begin(), Fleet.Moves.end(),
                        [&](const auto &M) { return M.Id == Entry.first; });
  });
  for (const config::MoveStatus &Move : Fleet.Moves)
    if (Move.Share > 0)
      WarmFrom.try_emplace(Move.Id, Now + WarmUp);
}

std::optional<NodeCounter::Counted>
NodeCounter::record(const request::ObservedAnswer &Answer,
                    const config::FleetState &Fleet, core::Instant Now) {
  const config::MoveStatus *Move = moveOf(Answer, Fleet, Now.Wall);
  if (Move == nullptr || Answer.Remote)
    return std::nullopt;
  const bool IsNew = Answer.Version == Move->Order.To;
  const bool IsCrash =
      Answer.TargetCrashed && Answer.RequestDigest != core::Digest();
  if (IsCrash && !Crashes.isNew(Answer.RequestDigest))
    return std::nullopt;
  Counted Result{Move->Id, Answer.Route, {}, std::nullopt};
  if (IsCrash)
    Result.Crashed = Crash{Answer.RequestDigest, IsNew};
  VersionCounts &Side = IsNew ? Result.Added.New : Result.Added.Old;
  Side.Answers = 1;
  Side.Faults = Answer.Fault ? 1 : 0;
  const auto Warm = WarmFrom.find(Move->Id);
  const bool IsWarm =
      !IsNew || (Warm != WarmFrom.end() && Now.Mono >= Warm->second);
  // A fault says nothing about latency: a refused request ends at once, a
  // timed-out one is counted as a fault already.
  if (!Answer.Fault && IsWarm)
    Side.Latency.Count[LatencyHistogram::bucketOf(Answer.Latency)] = 1;
  return Result;
}

bool EvidenceTable::knowsSender(const core::NodeId &Sender) const {
  const auto First = Of.lower_bound({Sender, core::Incarnation()});
  return First != Of.end() && First->first.first == Sender;
}

EvidenceTable::Merged
EvidenceTable::merge(const Evidence &Report,
                     const std::set<config::MoveId> &Inherited) {
  Merged Result;
  const std::pair Key(Report.Sender, Report.SenderIncarnation);
  auto Found = Of.find(Key);
  const bool Unknown = Found == Of.end() && !knowsSender(Report.Sender);
  if (Found != Of.end() && Report.Revision <= Found->second.Revision)
    return Result;
  if (Found == Of.end() && Of.size() >= MaxSenders)
    return Merged{{}, {}, false};
  if (Found == Of.end())
    Found = Of.emplace(Key, Known()).first;
  Found->second.Revision = Report.Revision;
  if (!Unknown)
    mergeCrashes(Report, Result);
  for (const auto &[Move, Routes] : Report.Moves) {
    MoveCounts &Before = Found->second.Moves[Move];
    for (const auto &[Route, Counts] : Routes) {
      const RouteCounts Added = since(Before[Route], Counts);
      Before[Route] += Added;
      if (Added != RouteCounts() && !(Unknown && Inherited.contains(Move)))
        Result.Added[Move][Route] += Added;
    }
  }
  return Result;
}

void EvidenceTable::mergeCrashes(const Evidence &Report, Merged &Result) {
  for (const auto &[Move, Routes] : Report.Crashes)
    for (const auto &[Route, Listed] : Routes)
      for (const Crash &Each : Listed) {
        if (!Crashes.isNew(Each.Request))
          continue;
        RouteCounts &Added = Result.Added[Move][Route];
        VersionCounts &Side = Each.OfNew ? Added.New : Added.Old;
        ++Side.Answers;
        ++Side.Faults;
        Result.Crashes[Move][Route].push_back(Each);
      }
}

MoveCounts EvidenceTable::total(const config::MoveId &Move) const {
  MoveCounts Sum;
  for (const auto &[Sender, Known] : Of)
    if (const auto Found = Known.Moves.find(Move); Found != Known.Moves.end())
      for (const auto &[Route, Counts] : Found->second)
        Sum[Route] += Counts;
  return Sum;
}

void EvidenceTable::retain(const std::set<config::MoveId> &Moves) {
  for (auto &[Sender, Known] : Of)
    std::erase_if(Known.Moves, [&](const auto &Entry) {
      return !Moves.contains(Entry.first);
    });
  // Without counts a sender is forgotten; moves younger than FreshMove still
  // take its next report in full.
  std::erase_if(Of,
                [](const auto &Entry) { return Entry.second.Moves.empty(); });
}

} // namespace filbertvane::decision::rollout
