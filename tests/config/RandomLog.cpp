#include "config/RandomLog.h"
#include "filbertvane/wire/RecordCodec.h"
#include <fmt/format.h>

namespace filbertvane::tests {

using namespace config;

std::string RandomLog::bytes(std::size_t MaxLength) {
  std::string Out(Generator.below(MaxLength + 1), '\0');
  for (char &Each : Out)
    Each = static_cast<char>(Generator.next());
  return Out;
}

core::Epoch RandomLog::epoch(const FleetState &State) {
  return oneIn(5) ? core::Epoch(Generator.below(4)) : State.CurrentEpoch;
}

MoveDecision RandomLog::moveDecision() {
  return {core::RouteName(oneIn(2) ? "r1" : ""),
          "reason",
          Generator.next(),
          Generator.next(),
          Generator.next(),
          Generator.next()};
}

MoveId RandomLog::move(const FleetState &State) {
  if (State.Moves.empty() || oneIn(8))
    return {core::ServiceName("s1"), core::ConfigVersion(Generator.below(9))};
  return State.Moves[Generator.below(State.Moves.size())].Id;
}

ServiceSpec RandomLog::service(const FleetState &State,
                               const std::string &Name) {
  ServiceSpec Spec;
  Spec.Name = core::ServiceName(Name);
  const auto Known = State.TrafficByService.find(Spec.Name);
  Spec.Version = Known == State.TrafficByService.end() || oneIn(10)
                     ? core::TargetVersion("v0")
                     : Known->second.Stable;
  if (oneIn(2))
    Spec.Move =
        MoveOrder{core::TargetVersion(fmt::format("v{}", Generator.below(4))),
                  oneIn(10) ? PublishTime : LaterTime};
  return Spec;
}

Sheet RandomLog::sheet(const FleetState &State) {
  Sheet Out;
  Out.Base =
      oneIn(5) ? core::ConfigVersion(Generator.below(9)) : State.SheetVersion;
  const std::uint64_t Count = 1 + Generator.below(4);
  for (std::uint64_t I = 0; I < Count; ++I)
    Out.Services.push_back(service(State, fmt::format("s{}", I)));
  for (std::uint64_t I = 0; I < Generator.below(4); ++I)
    Out.Routes.push_back(
        {core::RouteName(fmt::format("r{}", I)), fmt::format("/r{}", I),
         core::ServiceName(
             fmt::format("s{}", Generator.below(Count + oneIn(9)))),
         oneIn(2), static_cast<TrafficKind>(Generator.below(3)),
         core::Milliseconds(1 + Generator.below(5000))});
  return Out;
}

RecordBody RandomLog::body(const FleetState &State) {
  switch (Generator.below(9)) {
  case 0:
    return LeaseClaimed{
        core::NodeId("n1"),
        core::Epoch(State.CurrentEpoch.value() + Generator.below(3))};
  case 1:
  case 2:
  case 3:
    return MoveStepped{epoch(State), move(State),
                       static_cast<Permille>(Generator.below(1001))};
  case 4:
    return MoveRolledBack{epoch(State), move(State), LaterTime, moveDecision()};
  case 5:
    return MoveCompleted{epoch(State), move(State), LaterTime, moveDecision()};
  case 6:
    return InForceReported{epoch(State),
                           State.Version,
                           PublishTime,
                           {{core::DataCentreId("d1"), PublishTime}}};
  case 7:
    return SnapshotTaken{epoch(State),
                         core::LogOffset(State.NextOffset.value() - 1),
                         digestOf(State), wire::encode(State)};
  default:
    const Sheet Wanted = sheet(State);
    return SheetPublished{Wanted.Base, computeDelta(State.CurrentSheet, Wanted),
                          "operator", PublishTime};
  }
}

LogRecord RandomLog::record(const FleetState &State) {
  return {core::WriterId(fmt::format("w{}", Generator.below(3))),
          oneIn(10) ? Generator.below(20) : State.NextOffset.value() + 1,
          body(State)};
}

} // namespace filbertvane::tests
