#include "StateThrift.h"

namespace filbertvane::wire {

namespace {

gen::MoveStatus statusToThrift(const config::MoveStatus &From) {
  gen::MoveStatus To;
  To.id = toThrift(From.Id);
  To.fromVersion = From.From.value();
  To.order = toThrift(From.Order);
  To.acceptedAtMs = toMillis(From.AcceptedAt);
  To.stage = static_cast<std::int8_t>(From.Stage);
  To.share = static_cast<std::int16_t>(From.Share);
  if (From.EndedAt)
    To.__set_endedAtMs(toMillis(*From.EndedAt));
  if (From.Decision)
    To.__set_decided(toThrift(*From.Decision));
  return To;
}

config::MoveStatus statusFromThrift(const gen::MoveStatus &From,
                                    RangeCheck &Check) {
  config::MoveStatus To;
  To.Id = fromThrift(From.id);
  To.From = core::TargetVersion(From.fromVersion);
  To.Order = fromThrift(From.order, Check);
  To.AcceptedAt = Check.time(From.acceptedAtMs);
  To.Stage = Check.enumerator(From.stage, config::MoveStage::Superseded);
  To.Share = Check.share(From.share);
  if (From.__isset.endedAtMs)
    To.EndedAt = Check.time(From.endedAtMs);
  if (From.__isset.decided)
    To.Decision = fromThrift(From.decided);
  return To;
}

gen::Traffic trafficToThrift(const config::TrafficSplit &From) {
  gen::Traffic To;
  To.stable = From.Stable.value();
  if (From.Candidate)
    To.__set_candidate(From.Candidate->value());
  To.share = static_cast<std::int16_t>(From.CandidateShare);
  return To;
}

config::TrafficSplit trafficFromThrift(const gen::Traffic &From,
                                       RangeCheck &Check) {
  config::TrafficSplit To;
  To.Stable = core::TargetVersion(From.stable);
  if (From.__isset.candidate)
    To.Candidate = core::TargetVersion(From.candidate);
  To.CandidateShare = Check.share(From.share);
  return To;
}

gen::RefusedSheet refusedToThrift(const config::RefusedSheet &From) {
  gen::RefusedSheet To;
  To.offset = toSigned(From.Offset.value());
  To.publisher = From.Operator;
  To.code = static_cast<std::int32_t>(From.Reason.Code);
  To.detail = From.Reason.Detail;
  return To;
}

config::RefusedSheet refusedFromThrift(const gen::RefusedSheet &From) {
  // An unknown code is kept: a newer release may have more of them.
  const auto Code = static_cast<core::ErrorCode>(From.code);
  return {core::LogOffset(toUnsigned(From.offset)), From.publisher,
          core::Error{Code, From.detail}};
}

void positionToThrift(const config::FleetState &From, gen::FleetState &To) {
  To.nextOffset = toSigned(From.NextOffset.value());
  To.version = toSigned(From.Version.value());
  To.sheetVersion = toSigned(From.SheetVersion.value());
  To.epoch = toSigned(From.CurrentEpoch.value());
  To.leaseHolder = From.LeaseHolder.value();
}

void positionFromThrift(const gen::FleetState &From, config::FleetState &To) {
  To.NextOffset = core::LogOffset(toUnsigned(From.nextOffset));
  To.Version = core::ConfigVersion(toUnsigned(From.version));
  To.SheetVersion = core::ConfigVersion(toUnsigned(From.sheetVersion));
  To.CurrentEpoch = core::Epoch(toUnsigned(From.epoch));
  To.LeaseHolder = core::NodeId(From.leaseHolder);
}

} // namespace

gen::FleetState toThrift(const config::FleetState &From) {
  gen::FleetState To;
  positionToThrift(From, To);
  To.current = toThrift(From.CurrentSheet);
  for (const auto &[Service, Split] : From.TrafficByService)
    To.trafficOf.emplace(Service.value(), trafficToThrift(Split));
  for (const config::MoveStatus &Move : From.Moves)
    To.moves.push_back(statusToThrift(Move));
  for (const config::RefusedSheet &Sheet : From.RefusedSheets)
    To.refused.push_back(refusedToThrift(Sheet));
  if (From.InForce)
    To.__set_inForce(toThrift(*From.InForce));
  for (const auto &[Writer, Sequence] : From.LastSequence)
    To.lastSequence.emplace(Writer.value(), toSigned(Sequence));
  return To;
}

config::FleetState fromThrift(const gen::FleetState &From, RangeCheck &Check) {
  config::FleetState To;
  positionFromThrift(From, To);
  To.CurrentSheet = fromThrift(From.current, Check);
  for (const auto &[Service, Split] : From.trafficOf)
    To.TrafficByService.emplace(core::ServiceName(Service),
                                trafficFromThrift(Split, Check));
  for (const gen::MoveStatus &Move : From.moves)
    To.Moves.push_back(statusFromThrift(Move, Check));
  for (const gen::RefusedSheet &Sheet : From.refused)
    To.RefusedSheets.push_back(refusedFromThrift(Sheet));
  if (From.__isset.inForce)
    To.InForce = fromThrift(From.inForce, Check);
  for (const auto &[Writer, Sequence] : From.lastSequence)
    To.LastSequence.emplace(core::WriterId(Writer), toUnsigned(Sequence));
  return To;
}

} // namespace filbertvane::wire
