#include "filbertvane/decision/rollout/Evidence.h"
#include <algorithm>

namespace filbertvane::decision::rollout {

bool isMonitored(const config::MoveStatus &Move, core::WallTime Now) {
  if (Move.Stage == config::MoveStage::InProgress)
    return true;
  return Move.Stage == config::MoveStage::Completed && Move.EndedAt &&
         Now < *Move.EndedAt + PostCompletionMonitoring;
}

namespace {

/// Latest move of the service, if it is monitored and the answer comes from one
/// of its versions.
const config::MoveStatus *
findMonitoredMove(const request::ObservedAnswer &Answer,
                  const config::FleetState &Fleet, core::WallTime Now) {
  const auto Found =
      std::find_if(Fleet.Moves.rbegin(), Fleet.Moves.rend(),
                   [&](const config::MoveStatus &Move) {
                     return Move.Id.Service == Answer.Service &&
                            Move.Stage != config::MoveStage::Superseded;
                   });
  if (Found == Fleet.Moves.rend() || !isMonitored(*Found, Now))
    return nullptr;
  const bool IsMoveVersion =
      Answer.Version == Found->From || Answer.Version == Found->Order.To;
  return IsMoveVersion ? &*Found : nullptr;
}

} // namespace

bool RecentCrashes::insert(core::Digest Request) {
  if (std::find(Digests.begin(), Digests.end(), Request) != Digests.end())
    return false;
  Digests.push_back(Request);
  if (Digests.size() > Capacity)
    Digests.erase(Digests.begin());
  return true;
}

void addCrash(Evidence &Report, const config::MoveId &Move,
              const core::RouteName &Route, const Crash &Added) {
  std::vector<Crash> &Crashes = Report.Crashes[Move][Route];
  Crashes.push_back(Added);
  if (Crashes.size() > MaxCrashesPerRoute)
    Crashes.erase(Crashes.begin());
}

void NodeCounter::startWarmUps(const config::FleetState &Fleet,
                               core::TimePoint Now) {
  std::erase_if(WarmUpEnds, [&](const auto &Entry) {
    return std::none_of(Fleet.Moves.begin(), Fleet.Moves.end(),
                        [&](const auto &M) { return M.Id == Entry.first; });
  });
  for (const config::MoveStatus &Move : Fleet.Moves)
    if (Move.Share > 0)
      WarmUpEnds.try_emplace(Move.Id, Now + WarmUpDuration);
}

std::optional<NodeCounter::CountedAnswer>
NodeCounter::record(const request::ObservedAnswer &Answer,
                    const config::FleetState &Fleet, core::Instant Now) {
  const config::MoveStatus *Move = findMonitoredMove(Answer, Fleet, Now.Wall);
  if (Move == nullptr || Answer.Remote)
    return std::nullopt;
  const bool IsNew = Answer.Version == Move->Order.To;
  const bool IsCrash =
      Answer.TargetCrashed && Answer.RequestDigest != core::Digest();
  if (IsCrash && !Crashes.insert(Answer.RequestDigest))
    return std::nullopt;
  CountedAnswer Result{Move->Id, Answer.Route, {}, std::nullopt};
  if (IsCrash)
    Result.Crashed = Crash{Answer.RequestDigest, IsNew};
  VersionCounts &Side = IsNew ? Result.Counts.New : Result.Counts.Old;
  Side.Answers = 1;
  Side.Faults = Answer.Fault ? 1 : 0;
  const auto WarmUpEnd = WarmUpEnds.find(Move->Id);
  const bool IsWarm = !IsNew || (WarmUpEnd != WarmUpEnds.end() &&
                                 Now.Mono >= WarmUpEnd->second);
  // Latencies of faults are not counted: a refused request ends at once, and a
  // timed-out one already counts as a fault.
  if (!Answer.Fault && IsWarm)
    Side.Latency.Counts[LatencyHistogram::bucketOf(Answer.Latency)] = 1;
  return Result;
}

bool EvidenceTable::knowsSender(const core::NodeId &Sender) const {
  const auto First = BySender.lower_bound({Sender, core::Incarnation()});
  return First != BySender.end() && First->first.first == Sender;
}

EvidenceTable::MergeResult
EvidenceTable::merge(const Evidence &Report,
                     const std::set<config::MoveId> &BaselineMoves) {
  MergeResult Result;
  const std::pair Key(Report.Sender, Report.SenderIncarnation);
  auto Found = BySender.find(Key);
  const bool IsUnknownSender =
      Found == BySender.end() && !knowsSender(Report.Sender);
  if (Found != BySender.end() && Report.Revision <= Found->second.Revision)
    return Result;
  if (Found == BySender.end() && BySender.size() >= MaxSenders)
    return MergeResult{{}, {}, false};
  if (Found == BySender.end())
    Found = BySender.emplace(Key, SenderCounts()).first;
  Found->second.Revision = Report.Revision;
  if (!IsUnknownSender)
    mergeCrashes(Report, Result);
  for (const auto &[Move, Routes] : Report.Moves) {
    MoveCounts &Before = Found->second.Moves[Move];
    for (const auto &[Route, Counts] : Routes) {
      const RouteCounts Added = increaseSince(Before[Route], Counts);
      Before[Route] += Added;
      if (Added != RouteCounts() &&
          !(IsUnknownSender && BaselineMoves.contains(Move)))
        Result.Added[Move][Route] += Added;
    }
  }
  return Result;
}

void EvidenceTable::mergeCrashes(const Evidence &Report, MergeResult &Result) {
  for (const auto &[Move, Routes] : Report.Crashes)
    for (const auto &[Route, Listed] : Routes)
      for (const Crash &Each : Listed) {
        if (!Crashes.insert(Each.RequestDigest))
          continue;
        RouteCounts &Added = Result.Added[Move][Route];
        VersionCounts &Side = Each.OnNewVersion ? Added.New : Added.Old;
        ++Side.Answers;
        ++Side.Faults;
        Result.Crashes[Move][Route].push_back(Each);
      }
}

MoveCounts EvidenceTable::total(const config::MoveId &Move) const {
  MoveCounts Sum;
  for (const auto &[Sender, Known] : BySender)
    if (const auto Found = Known.Moves.find(Move); Found != Known.Moves.end())
      for (const auto &[Route, Counts] : Found->second)
        Sum[Route] += Counts;
  return Sum;
}

void EvidenceTable::retain(const std::set<config::MoveId> &Moves) {
  for (auto &[Sender, Known] : BySender)
    std::erase_if(Known.Moves, [&](const auto &Entry) {
      return !Moves.contains(Entry.first);
    });
  // Senders without counts are erased; moves younger than FirstReportWindow
  // still count the next report of an erased sender in full.
  std::erase_if(BySender,
                [](const auto &Entry) { return Entry.second.Moves.empty(); });
}

} // namespace filbertvane::decision::rollout
