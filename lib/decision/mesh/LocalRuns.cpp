#include "filbertvane/decision/mesh/LocalRuns.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

/// Runs after which the counts of a route are halved, so that the means follow
/// a change of the target's behaviour.
constexpr double MaximumRuns = 256;
/// Routes whose calls are counted. Few routes of one service are in use at a
/// time, and removed ones must not accumulate.
constexpr std::size_t MaximumRoutes = 64;

} // namespace

void LocalRuns::start(const std::string &RequestId,
                      const core::RouteName &Route, bool Repeated) {
  Waiting.erase(RequestId);
  if (RequestId.empty())
    return;
  Running.insert_or_assign(RequestId, Run{Route, Repeated, false, {}});
  if (Counts.size() >= MaximumRoutes && !Counts.contains(Route))
    Counts.clear();
  RouteCounts &Count = Counts[Route];
  Count.Runs += 1;
  if (Count.Runs <= MaximumRuns)
    return;
  Count.Runs /= 2;
  for (auto &[Callee, Calls] : Count.Calls)
    Calls /= 2;
}

void LocalRuns::end(const std::string &RequestId) { Running.erase(RequestId); }

bool LocalRuns::recordCall(const std::string &ParentId,
                           const core::ServiceName &Callee) {
  const auto Parent = Running.find(ParentId);
  if (Parent == Running.end())
    return false;
  ++Parent->second.Calls[Callee];
  Counts[Parent->second.Route].Calls[Callee] += 1;
  return Parent->second.Repeated;
}

void LocalRuns::recordCallFailure(const std::string &ParentId) {
  const auto Parent = Running.find(ParentId);
  if (Parent != Running.end())
    Parent->second.CallFailed = true;
}

bool LocalRuns::hasFailedCall(const std::string &RequestId) const {
  const auto Found = Running.find(RequestId);
  return Found != Running.end() && Found->second.CallFailed;
}

LocalRuns::CallsByService
LocalRuns::callsPerRun(const core::RouteName &Route) const {
  const auto Found = Counts.find(Route);
  if (Found == Counts.end() || Found->second.Runs == 0)
    return {};
  CallsByService Means;
  for (const auto &[Callee, Calls] : Found->second.Calls)
    Means.emplace(Callee, Calls / Found->second.Runs);
  return Means;
}

double LocalRuns::meanCalls(const core::RouteName &Route,
                            const core::ServiceName &Callee) const {
  const auto Found = Counts.find(Route);
  if (Found == Counts.end() || !Found->second.Calls.contains(Callee))
    return 0;
  return Found->second.Calls.at(Callee) / Found->second.Runs;
}

double LocalRuns::expectedRepeatedCalls(const core::ServiceName &Callee) const {
  double Expected = 0;
  for (const auto &[Id, Route] : Waiting)
    Expected += meanCalls(Route, Callee);
  for (const auto &[Id, Current] : Running) {
    if (!Current.Repeated)
      continue;
    const auto Made = Current.Calls.find(Callee);
    const std::uint32_t Count = Made == Current.Calls.end() ? 0 : Made->second;
    Expected += std::max(0.0, meanCalls(Current.Route, Callee) - Count);
  }
  return Expected;
}

} // namespace filbertvane::decision::mesh
