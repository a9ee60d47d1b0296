#include "filbertvane/decision/mesh/Reducer.h"
#include "Reduction.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

std::vector<RouteTally>
toList(const std::map<core::RouteName, RouteTally> &Tallies) {
  std::vector<RouteTally> List;
  List.reserve(Tallies.size());
  for (const auto &[Name, Tally] : Tallies)
    List.push_back(Tally);
  return List;
}

} // namespace

MeshState::MeshState(MeshSettings InitialSettings)
    : Settings(std::move(InitialSettings)), RandomSource(Settings.RandomSeed),
      Hosts(Settings.Node, Settings.DataCentre, Settings.Region),
      Quotas({Settings.Node, Settings.Incarnation}, Settings.StartedAt) {}

/// Without the list of hosts, a node may know a small part of those with which
/// it shares.
std::size_t nodesSharingBudget(const MeshState &State) {
  return State.HostListRead ? State.Hosts.largestSize() + 1 : MaximumHosts;
}

std::optional<TargetReport> localTargetReport(const MeshState &State) {
  if (!State.Target)
    return std::nullopt;
  const LocalTarget &Target = *State.Target;
  TargetReport Report;
  Report.Id = Target.Announcement.Id;
  Report.Service = Target.Announcement.Service;
  Report.Version = Target.Announcement.Version;
  Report.State = Target.State;
  Report.Load = State.Slots.load();
  Report.RequestsPerSecond = State.Slots.rateLimit();
  Report.FaultPermille = static_cast<std::uint32_t>(Target.FaultRatio * 1000);
  // Tallies are needed as evidence during a move only, and cost bytes in each
  // report.
  const auto Move = State.Moves.moves().find(Report.Service);
  if (Move != State.Moves.moves().end() && !Move->second.ended()) {
    Report.Tallies = toList(Target.Tallies);
    Report.StepTallies = toList(Target.StepTallies);
  }
  return Report;
}

core::Milliseconds linkWait(const MeshState &State, core::TimePoint Now) {
  return std::chrono::duration_cast<core::Milliseconds>(
      std::max({State.LinkFreeAt, State.UploadsFreeAt, Now}) - Now);
}

HostReport makeHostReport(MeshState &State, core::TimePoint Now) {
  HostReport Report;
  Report.Node = State.Settings.Node;
  Report.Incarnation = State.Settings.Incarnation;
  Report.Sequence = ++State.ReportSequence;
  Report.Address = State.Settings.Address;
  Report.DataCentre = State.Settings.DataCentre;
  Report.Region = State.Settings.Region;
  Report.Leaving = State.Draining && Now >= State.ReportLeavingAt;
  if (State.ShutdownDeadline)
    Report.ExitsIn = std::chrono::duration_cast<core::Milliseconds>(
        std::max(*State.ShutdownDeadline, Now) - Now);
  Report.Target = localTargetReport(State);
  if (Report.Target)
    Report.Target->Load.LinkQueueTime = linkWait(State, Now);
  Report.Departed = State.Departed;
  Report.Position = State.Position;
  Report.LostRecords = State.LostDigest;
  Report.StoreReachable = State.StoreReachable;
  Report.Moves = State.Moves.reports(Now);
  Report.Suspects = State.Suspects.reports(Now);
  return Report;
}

Effects reduce(MeshState &State, const Event &NewEvent, core::TimePoint Now) {
  Reduction Current(State, Now);
  std::visit(Current, NewEvent);
  return Current.takeEffects();
}

void Reduction::operator()(const request::Tick &) {
  std::vector<core::CallId> Expired;
  for (const auto &[Id, Call] : State.Calls)
    if (Call.Deadline <= Now)
      Expired.push_back(Id);
  for (const core::CallId Id : Expired)
    if (MeshCall *Call = find(Id))
      expire(*Call);
  checkTargetSilence();
  applyColdLimit();
  reportLeavingIfDue();
  publishRateLimitIfChanged();
  State.Suspects.expire(Now);
  State.TargetCalls.expire(Now);
  reportSuspects();
  publishSuspectsIfChanged();
  dispatchQueue();
  updateQuotaFleet();
  serveAwaitingQuota();
  sendQuotaMessages();
  State.Hosts.evictSilent(Now);
  std::erase_if(State.PeerExits, [this](const auto &Entry) {
    return Entry.second + HostEvictionTimeout < Now;
  });
  startTallyStep();
  reviewMoves();
  reportBadAnswers();
  fetchMissingRecords();
  updateOutdated();
  updateStoreFollowing();
  sendPeriodicReports();
}

MeshCall *Reduction::find(core::CallId Id) {
  const auto Found = State.Calls.find(Id);
  return Found == State.Calls.end() ? nullptr : &Found->second;
}

void Reduction::erase(core::CallId Id) {
  if (const MeshCall *Call = find(Id)) {
    State.Runs.removeWaiting(Call->CallerId);
    if (Call->Phase == CallPhase::AwaitingQuota)
      State.Quotas.withdraw(*Call->Terms.Tenant);
  }
  State.Calls.erase(Id);
}

MeshServiceState &Reduction::stateOf(const core::ServiceName &Service) {
  const auto Found = State.Services.find(Service);
  if (Found != State.Services.end())
    return Found->second;
  MeshServiceState NewState(State.Settings);
  NewState.CandidateSplit = SplitSelector(State.RandomSource.unit());
  return State.Services.emplace(Service, std::move(NewState)).first->second;
}

MeshRouteState &Reduction::stateOf(const core::RouteName &Route) {
  const auto Found = State.Routes.find(Route);
  if (Found != State.Routes.end())
    return Found->second;
  MeshRouteState NewState;
  NewState.ServiceSplit = SplitSelector(State.RandomSource.unit());
  return State.Routes.emplace(Route, std::move(NewState)).first->second;
}

void Reduction::log(observe::EventId Id, std::string Detail) {
  Produced.emplace_back(observe::LogEvent{Id, std::move(Detail)});
}

} // namespace filbertvane::decision::mesh
