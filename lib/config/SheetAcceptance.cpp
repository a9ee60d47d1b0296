#include "SheetAcceptance.h"
#include "MoveRecords.h"
#include "filbertvane/config/SheetValidation.h"
#include <fmt/format.h>
#include <set>

namespace filbertvane::config {

namespace {

using core::ErrorCode;

/// First name that occurs twice in a delta. Such a delta is ambiguous, because
/// its result depends on the order of application.
template <typename Spec, typename Name>
std::optional<Name> repeatedName(const std::vector<Spec> &Changed,
                                 const std::vector<Name> &Removed) {
  std::set<Name> Seen;
  for (const Spec &Each : Changed)
    if (!Seen.insert(Each.Name).second)
      return Each.Name;
  for (const Name &Each : Removed)
    if (!Seen.insert(Each).second)
      return Each;
  return std::nullopt;
}

std::optional<core::Error> findDuplicateName(const SheetDelta &Delta) {
  if (const auto Name =
          repeatedName(Delta.ChangedServices, Delta.RemovedServices))
    return core::Error{ErrorCode::SheetDuplicateName,
                       fmt::format("service {}", Name->value())};
  if (const auto Name = repeatedName(Delta.ChangedRoutes, Delta.RemovedRoutes))
    return core::Error{ErrorCode::SheetDuplicateName,
                       fmt::format("route {}", Name->value())};
  return std::nullopt;
}

std::optional<core::Error> findError(const FleetState &State,
                                     const SheetPublished &Published,
                                     const Sheet &Next) {
  if (Published.Base != State.SheetVersion)
    return core::Error{ErrorCode::SheetStaleBase,
                       fmt::format("base {}, version in force {}",
                                   Published.Base.value(),
                                   State.SheetVersion.value())};
  if (auto Error = findDuplicateName(Published.Delta))
    return Error;
  const auto SheetErrors = validateSheet(Next);
  if (!SheetErrors.empty())
    return toError(SheetErrors.front(), Next);
  const auto StateErrors = validateAgainst(State, Next, Published.PublishedAt);
  if (!StateErrors.empty())
    return toError(StateErrors.front(), Next);
  return std::nullopt;
}

RecordOutcome refuse(FleetState &State, core::LogOffset Offset,
                     const SheetPublished &Published, core::Error Reason) {
  RefusedSheet Entry{Offset, Published.Operator, Reason};
  if (Entry.Operator.size() > MaxOperatorBytes)
    Entry.Operator.resize(MaxOperatorBytes);
  if (Entry.Reason.Detail.size() > MaxDetailBytes)
    Entry.Reason.Detail.resize(MaxDetailBytes);
  if (State.RefusedSheets.size() >= MaxRefusedSheets)
    State.RefusedSheets.erase(State.RefusedSheets.begin());
  State.RefusedSheets.push_back(std::move(Entry));
  return Refused{std::move(Reason)};
}

void startMove(FleetState &State, const ServiceSpec &Spec, TrafficSplit &Split,
               core::WallTime At) {
  Split.Candidate = Spec.Move->To;
  const MoveId Id{Spec.Name, State.Version};
  State.Moves.push_back({Id, Split.Stable, *Spec.Move, At,
                         MoveStage::InProgress, 0, std::nullopt, std::nullopt});
}

void changeService(FleetState &State, const ServiceSpec &Spec,
                   core::WallTime At) {
  supersedeMove(State, Spec.Name, At);
  const auto [Entry, IsNew] = State.TrafficByService.try_emplace(
      Spec.Name, TrafficSplit{Spec.Version, {}, 0});
  TrafficSplit &Split = Entry->second;
  Split.Candidate.reset();
  Split.CandidateShare = 0;
  if (Spec.Move)
    startMove(State, Spec, Split, At);
}

void removeService(FleetState &State, const core::ServiceName &Name,
                   core::WallTime At) {
  supersedeMove(State, Name, At);
  State.TrafficByService.erase(Name);
}

} // namespace

RecordOutcome acceptSheet(FleetState &State, core::LogOffset Offset,
                          const SheetPublished &Published) {
  Sheet Next = applyDelta(State.CurrentSheet, Published.Delta);
  Next.Base = Published.Base;
  if (auto Reason = findError(State, Published, Next))
    return refuse(State, Offset, Published, std::move(*Reason));
  const Accepted Outcome = nextVersion(State);
  State.SheetVersion = State.Version;
  // A delta may contain unchanged specs, whose moves must not be superseded.
  const SheetDelta Effective = computeDelta(State.CurrentSheet, Next);
  for (const core::ServiceName &Name : Effective.RemovedServices)
    removeService(State, Name, Published.PublishedAt);
  for (const ServiceSpec &Spec : Effective.ChangedServices)
    changeService(State, Spec, Published.PublishedAt);
  State.CurrentSheet = std::move(Next);
  return Outcome;
}

} // namespace filbertvane::config
