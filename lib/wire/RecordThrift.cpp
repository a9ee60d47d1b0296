#include "RecordThrift.h"

namespace filbertvane::wire {

namespace {

template <typename Ended> gen::MoveEnded endedToThrift(const Ended &From) {
  gen::MoveEnded To;
  To.epoch = toSigned(From.LeaseEpoch.value());
  To.move = toThrift(From.Move);
  To.atMs = toMillis(From.At);
  To.decided = toThrift(From.Decision);
  return To;
}

template <typename Ended>
Ended endedFromThrift(const gen::MoveEnded &From, RangeCheck &Check) {
  return {core::Epoch(toUnsigned(From.epoch)), fromThrift(From.move),
          Check.time(From.atMs), fromThrift(From.decided)};
}

gen::SheetPublished sheetToThrift(const config::SheetPublished &From) {
  gen::SheetPublished To;
  To.base = toSigned(From.Base.value());
  To.delta = toThrift(From.Delta);
  To.publisher = From.Operator;
  To.publishedAtMs = toMillis(From.PublishedAt);
  return To;
}

config::SheetPublished sheetFromThrift(const gen::SheetPublished &From,
                                       RangeCheck &Check) {
  return {core::ConfigVersion(toUnsigned(From.base)),
          fromThrift(From.delta, Check), From.publisher,
          Check.time(From.publishedAtMs)};
}

gen::SnapshotTaken snapshotToThrift(const config::SnapshotTaken &From) {
  gen::SnapshotTaken To;
  To.epoch = toSigned(From.LeaseEpoch.value());
  To.upTo = toSigned(From.UpTo.value());
  To.stateDigest = toSigned(From.StateDigest.value());
  To.state = From.State;
  return To;
}

config::SnapshotTaken snapshotFromThrift(const gen::SnapshotTaken &From) {
  return {core::Epoch(toUnsigned(From.epoch)),
          core::LogOffset(toUnsigned(From.upTo)),
          core::Digest(toUnsigned(From.stateDigest)), From.state};
}

gen::LeaseClaimed leaseToThrift(const config::LeaseClaimed &From) {
  gen::LeaseClaimed To;
  To.holder = From.Holder.value();
  To.newEpoch = toSigned(From.NewEpoch.value());
  return To;
}

config::LeaseClaimed leaseFromThrift(const gen::LeaseClaimed &From,
                                     RangeCheck &Check) {
  return {core::NodeId(Check.name(From.holder)),
          core::Epoch(toUnsigned(From.newEpoch))};
}

gen::MoveStepped stepToThrift(const config::MoveStepped &From) {
  gen::MoveStepped To;
  To.epoch = toSigned(From.LeaseEpoch.value());
  To.move = toThrift(From.Move);
  To.share = static_cast<std::int16_t>(From.Share);
  return To;
}

config::MoveStepped stepFromThrift(const gen::MoveStepped &From,
                                   RangeCheck &Check) {
  return {core::Epoch(toUnsigned(From.epoch)), fromThrift(From.move),
          Check.share(From.share)};
}

gen::RecordBody bodyToThrift(const config::RecordBody &From) {
  gen::RecordBody To;
  std::visit(core::Overloaded{
                 [&](const config::SheetPublished &Body) {
                   To.__set_sheet(sheetToThrift(Body));
                 },
                 [&](const config::LeaseClaimed &Body) {
                   To.__set_lease(leaseToThrift(Body));
                 },
                 [&](const config::MoveStepped &Body) {
                   To.__set_step(stepToThrift(Body));
                 },
                 [&](const config::MoveRolledBack &Body) {
                   To.__set_rolledBack(endedToThrift(Body));
                 },
                 [&](const config::MoveCompleted &Body) {
                   To.__set_completed(endedToThrift(Body));
                 },
                 [&](const config::InForceReported &Body) {
                   To.__set_inForce(toThrift(Body));
                 },
                 [&](const config::SnapshotTaken &Body) {
                   To.__set_snapshot(snapshotToThrift(Body));
                 },
             },
             From);
  return To;
}

int countOfSet(const gen::RecordBody &From) {
  const auto &Set = From.__isset;
  return Set.sheet + Set.lease + Set.step + Set.rolledBack + Set.completed +
         Set.inForce + Set.snapshot;
}

config::RecordBody bodyFromThrift(const gen::RecordBody &From,
                                  RangeCheck &Check) {
  if (countOfSet(From) != 1)
    return Check.outOfRange("kind of record", config::RecordBody{});
  if (From.__isset.sheet)
    return sheetFromThrift(From.sheet, Check);
  if (From.__isset.lease)
    return leaseFromThrift(From.lease, Check);
  if (From.__isset.step)
    return stepFromThrift(From.step, Check);
  if (From.__isset.rolledBack)
    return endedFromThrift<config::MoveRolledBack>(From.rolledBack, Check);
  if (From.__isset.completed)
    return endedFromThrift<config::MoveCompleted>(From.completed, Check);
  if (From.__isset.inForce)
    return fromThrift(From.inForce, Check);
  return snapshotFromThrift(From.snapshot);
}

} // namespace

gen::MoveId toThrift(const config::MoveId &From) {
  gen::MoveId To;
  To.serviceName = From.Service.value();
  To.orderedIn = toSigned(From.OrderedIn.value());
  return To;
}

config::MoveId fromThrift(const gen::MoveId &From) {
  return {core::ServiceName(From.serviceName),
          core::ConfigVersion(toUnsigned(From.orderedIn))};
}

gen::Verdict toThrift(const config::MoveDecision &From) {
  gen::Verdict To;
  To.route = From.Route.value();
  To.reason = From.Reason;
  To.newAnswers = toSigned(From.NewAnswers);
  To.newFaults = toSigned(From.NewFaults);
  To.oldAnswers = toSigned(From.OldAnswers);
  To.oldFaults = toSigned(From.OldFaults);
  return To;
}

config::MoveDecision fromThrift(const gen::Verdict &From) {
  return {core::RouteName(From.route), From.reason,
          toUnsigned(From.newAnswers), toUnsigned(From.newFaults),
          toUnsigned(From.oldAnswers), toUnsigned(From.oldFaults)};
}

gen::InForceReported toThrift(const config::InForceReported &From) {
  gen::InForceReported To;
  To.epoch = toSigned(From.LeaseEpoch.value());
  To.version = toSigned(From.Version.value());
  To.atMs = toMillis(From.At);
  for (const auto &[DataCentre, Since] : From.Missing) {
    gen::MissingDataCentre Each;
    Each.dataCentre = DataCentre.value();
    Each.sinceMs = toMillis(Since);
    To.missing.push_back(Each);
  }
  return To;
}

config::InForceReported fromThrift(const gen::InForceReported &From,
                                   RangeCheck &Check) {
  config::InForceReported To;
  To.LeaseEpoch = core::Epoch(toUnsigned(From.epoch));
  To.Version = core::ConfigVersion(toUnsigned(From.version));
  To.At = Check.time(From.atMs);
  for (const gen::MissingDataCentre &Each : From.missing)
    To.Missing.emplace_back(core::DataCentreId(Check.name(Each.dataCentre)),
                            Check.time(Each.sinceMs));
  return To;
}

gen::LogRecord toThrift(const config::LogRecord &From) {
  gen::LogRecord To;
  To.writer = From.Writer.value();
  To.sequence = toSigned(From.Sequence);
  To.body = bodyToThrift(From.Body);
  return To;
}

config::LogRecord fromThrift(const gen::LogRecord &From, RangeCheck &Check) {
  return {core::WriterId(Check.name(From.writer)), toUnsigned(From.sequence),
          bodyFromThrift(From.body, Check)};
}

} // namespace filbertvane::wire
