#include "filbertvane/decision/mesh/Reducer.h"
#include "Reduction.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

std::vector<RouteTally> talliesOf(const OwnTarget &Target) {
  std::vector<RouteTally> All;
  for (const auto &[Name, Tally] : Target.Tallies)
    All.push_back(Tally);
  return All;
}

} // namespace

MeshState::MeshState(MeshSettings Settings)
    : Own(std::move(Settings)), Source(Own.RandomSeed),
      Hosts(Own.Node, Own.DataCentre, Own.Region) {}

std::optional<TargetReport> ownTargetReport(const MeshState &State) {
  if (!State.Target)
    return std::nullopt;
  const OwnTarget &Target = *State.Target;
  TargetReport Report;
  Report.Id = Target.Last.Id;
  Report.Service = Target.Last.Service;
  Report.Version = Target.Last.Version;
  Report.State = Target.State;
  Report.Load = State.Slots.load();
  Report.FaultPermille = static_cast<std::uint32_t>(Target.FaultPart * 1000);
  // Tallies are evidence about a move and cost bytes at other times.
  const auto Move = State.Moves.moves().find(Report.Service);
  if (Move != State.Moves.moves().end() && !Move->second.over())
    Report.Tallies = talliesOf(Target);
  return Report;
}

core::Milliseconds linkWait(const MeshState &State, core::TimePoint Now) {
  return std::chrono::duration_cast<core::Milliseconds>(
      std::max(State.LinkFreeAt, Now) - Now);
}

HostReport ownReport(MeshState &State, core::TimePoint Now) {
  HostReport Report;
  Report.Node = State.Own.Node;
  Report.Start = State.Own.Start;
  Report.Sequence = ++State.ReportSequence;
  Report.Address = State.Own.Address;
  Report.DataCentre = State.Own.DataCentre;
  Report.Region = State.Own.Region;
  Report.Leaving = State.Draining && Now >= State.LeavesAt;
  Report.Target = ownTargetReport(State);
  if (Report.Target)
    Report.Target->Load.LinkQueueTime = linkWait(State, Now);
  Report.Left = State.Left;
  Report.Position = State.Position;
  Report.StoreReachable = State.StoreReachable;
  Report.Moves = State.Moves.reports(Now);
  return Report;
}

Effects reduce(MeshState &State, const Event &What, core::TimePoint Now) {
  Reduction Step(State, Now);
  std::visit(Step, What);
  return Step.take();
}

void Reduction::operator()(const request::Tick &) {
  std::vector<core::CallId> Expired;
  for (const auto &[Id, Call] : State.Calls)
    if (Call.Deadline <= Now)
      Expired.push_back(Id);
  for (const core::CallId Id : Expired)
    if (MeshCall *Call = find(Id))
      expire(*Call);
  checkTarget();
  checkLeaving();
  serveQueue();
  State.Hosts.forgetSilent(Now);
  reviewMoves();
  checkPosition();
  checkReading();
  reportInTurn();
}

MeshCall *Reduction::find(core::CallId Id) {
  const auto Found = State.Calls.find(Id);
  return Found == State.Calls.end() ? nullptr : &Found->second;
}

ServiceMemory &Reduction::memoryOf(const core::ServiceName &Service) {
  const auto Found = State.Services.find(Service);
  if (Found != State.Services.end())
    return Found->second;
  ServiceMemory Fresh(State.Own.Budget);
  Fresh.Candidates = SplitSelector(State.Source.unit());
  return State.Services.emplace(Service, std::move(Fresh)).first->second;
}

RouteMemory &Reduction::memoryOf(const core::RouteName &Route) {
  const auto Found = State.Routes.find(Route);
  if (Found != State.Routes.end())
    return Found->second;
  RouteMemory Fresh;
  Fresh.Split = SplitSelector(State.Source.unit());
  return State.Routes.emplace(Route, std::move(Fresh)).first->second;
}

void Reduction::log(observe::EventId Id, std::string Detail) {
  Out.emplace_back(observe::LogEvent{Id, std::move(Detail)});
}

} // namespace filbertvane::decision::mesh
