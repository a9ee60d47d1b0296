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
  if (RequestId.empty())
    return;
  Running.insert_or_assign(RequestId, Run{Route, Repeated, false});
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

std::size_t LocalRuns::repeatedCount() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Running, [](const auto &Entry) { return Entry.second.Repeated; }));
}

} // namespace filbertvane::decision::mesh
