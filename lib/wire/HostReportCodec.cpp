#include "filbertvane/wire/HostReportCodec.h"
#include "CompactBuffer.h"
#include "filbertvane_types.h"
#include <algorithm>
#include <cmath>
#include <zlib.h>

namespace filbertvane::wire {

namespace mesh = decision::mesh;

namespace {

std::int64_t offsetOf(const mesh::StorePosition &Position) {
  return static_cast<std::int64_t>(Position.offset().value());
}

std::int64_t eraOf(const mesh::StorePosition &Position) {
  return static_cast<std::int64_t>(Position.era().value());
}

std::vector<std::int32_t> toThrift(const mesh::AnswerTimes &Times) {
  const auto &Buckets = Times.buckets();
  std::vector<std::int32_t> Out(Buckets.begin(), Buckets.end());
  while (!Out.empty() && Out.back() == 0)
    Out.pop_back();
  return Out;
}

gen::RouteTally toThrift(const mesh::RouteTally &Tally) {
  gen::RouteTally Out;
  Out.route = Tally.Route.value();
  Out.answers = static_cast<std::int64_t>(Tally.Answers);
  Out.faults = static_cast<std::int64_t>(Tally.Faults);
  Out.times = toThrift(Tally.Times);
  Out.cutOffTimes = toThrift(Tally.CutOffTimes);
  return Out;
}

gen::TargetReport toThrift(const mesh::TargetReport &Target) {
  gen::TargetReport Out;
  Out.target = Target.Id.value();
  Out.serviceName = Target.Service.value();
  Out.version = Target.Version.value();
  Out.state = static_cast<std::int8_t>(Target.State);
  Out.running = static_cast<std::int32_t>(Target.Load.Running);
  Out.waiting = static_cast<std::int32_t>(Target.Load.Waiting);
  Out.slots = static_cast<std::int32_t>(Target.Load.Slots);
  Out.meanMs = static_cast<std::int32_t>(Target.Load.MeanResponseTime.count());
  // Most links are idle; their reports save the field.
  if (Target.Load.LinkQueueTime.count() > 0)
    Out.__set_linkMs(
        static_cast<std::int32_t>(Target.Load.LinkQueueTime.count()));
  if (Target.RequestsPerSecond)
    Out.__set_limitPerSecond(*Target.RequestsPerSecond);
  Out.faultPermille = static_cast<std::int32_t>(Target.FaultPermille);
  for (const mesh::RouteTally &Tally : Target.Tallies)
    Out.tallies.push_back(toThrift(Tally));
  for (const mesh::RouteTally &Tally : Target.StepTallies)
    Out.stepTallies.push_back(toThrift(Tally));
  return Out;
}

gen::MoveReport toThrift(const mesh::MoveReport &Move) {
  gen::MoveReport Out;
  Out.serviceName = Move.Service.value();
  Out.toVersion = Move.NewVersion.value();
  Out.order = offsetOf(Move.OrderPosition);
  if (Move.OrderPosition.era().value() > 0)
    Out.__set_orderEra(eraOf(Move.OrderPosition));
  Out.phase = static_cast<std::int8_t>(Move.Phase);
  Out.elapsedMs = Move.Elapsed.count();
  return Out;
}

gen::SuspectRequest toThrift(const mesh::SuspectRequest &Suspect) {
  gen::SuspectRequest Out;
  Out.requestDigest = static_cast<std::int64_t>(Suspect.Request.value());
  for (const core::Digest Crash : Suspect.Crashes)
    Out.crashes.push_back(static_cast<std::int64_t>(Crash.value()));
  return Out;
}

/// Bytes of the length before compressed bytes.
constexpr std::size_t SizeBytes = 4;

/// A configuration of some hundred routes shrinks to about a sixth; it goes to
/// all hosts of a data centre over links of 10 Mbit/s.
std::string compressed(const std::string &Plain) {
  uLongf Size = compressBound(Plain.size());
  std::string Out(SizeBytes + Size, '\0');
  for (std::size_t I = 0; I < SizeBytes; ++I)
    Out[I] = static_cast<char>((Plain.size() >> (8 * I)) & 0xff);
  compress2(reinterpret_cast<Bytef *>(Out.data() + SizeBytes), &Size,
            reinterpret_cast<const Bytef *>(Plain.data()), Plain.size(),
            Z_BEST_SPEED);
  Out.resize(SizeBytes + Size);
  return Out;
}

core::Result<std::string> uncompressed(std::string_view Bytes) {
  if (Bytes.size() < SizeBytes)
    return core::Error{core::ErrorCode::WireMalformed, "no length"};
  std::size_t Stated = 0;
  for (std::size_t I = 0; I < SizeBytes; ++I)
    Stated |= static_cast<std::size_t>(static_cast<unsigned char>(Bytes[I]))
              << (8 * I);
  if (Stated > MaxRecordsBytes)
    return core::Error{core::ErrorCode::WireTooLarge, "records"};
  std::string Out(Stated, '\0');
  uLongf Size = Stated;
  const int Done =
      ::uncompress(reinterpret_cast<Bytef *>(Out.data()), &Size,
                   reinterpret_cast<const Bytef *>(Bytes.data() + SizeBytes),
                   Bytes.size() - SizeBytes);
  if (Done != Z_OK || Size != Stated)
    return core::Error{core::ErrorCode::WireMalformed, "compressed bytes"};
  return Out;
}

std::uint64_t count(std::int64_t Number) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(Number, 0));
}

std::uint32_t count(std::int32_t Number) {
  return static_cast<std::uint32_t>(std::max(Number, 0));
}

/// Fields that were not sent are 0.
mesh::StorePosition positionOf(std::int64_t Era, std::int64_t Offset) {
  return {core::StoreEra(count(Era)), core::LogOffset(count(Offset))};
}

mesh::AnswerTimes fromThrift(const std::vector<std::int32_t> &Counts) {
  mesh::AnswerTimes::Buckets Buckets{};
  for (std::size_t I = 0; I < std::min(Counts.size(), Buckets.size()); ++I)
    Buckets[I] = count(Counts[I]);
  return mesh::AnswerTimes(Buckets);
}

/// No move or shutdown lasts longer; the time of another writer must not
/// overflow when it is added to a clock.
constexpr std::int64_t MaximumMillis = std::int64_t{1} << 40;

core::Milliseconds millis(std::int64_t Number) {
  return core::Milliseconds(std::clamp<std::int64_t>(Number, 0, MaximumMillis));
}

mesh::RouteTally fromThrift(const gen::RouteTally &In) {
  return {core::RouteName(In.route), count(In.answers), count(In.faults),
          fromThrift(In.times), fromThrift(In.cutOffTimes)};
}

mesh::TargetReport fromThrift(const gen::TargetReport &In) {
  mesh::TargetReport Target;
  Target.Id = core::TargetId(In.target);
  Target.Service = core::ServiceName(In.serviceName);
  Target.Version = core::TargetVersion(In.version);
  Target.State = static_cast<mesh::TargetState>(In.state);
  Target.Load = {count(In.running), count(In.waiting), count(In.slots),
                 core::Milliseconds(In.meanMs)};
  if (In.__isset.linkMs)
    Target.Load.LinkQueueTime = core::Milliseconds(count(In.linkMs));
  if (In.__isset.limitPerSecond && std::isfinite(In.limitPerSecond))
    Target.RequestsPerSecond = std::max(In.limitPerSecond, 0.0);
  Target.FaultPermille = count(In.faultPermille);
  for (const gen::RouteTally &Tally : In.tallies)
    Target.Tallies.push_back(fromThrift(Tally));
  for (const gen::RouteTally &Tally : In.stepTallies)
    Target.StepTallies.push_back(fromThrift(Tally));
  return Target;
}

gen::LeftTarget toThrift(const mesh::DepartedTarget &Target) {
  gen::LeftTarget Out;
  Out.target = Target.Id.value();
  Out.born = static_cast<std::int64_t>(Target.ProcessStart);
  return Out;
}

mesh::DepartedTarget fromThrift(const gen::LeftTarget &In) {
  return {core::TargetId(In.target), count(In.born)};
}

mesh::SuspectRequest fromThrift(const gen::SuspectRequest &In) {
  mesh::SuspectRequest Suspect;
  Suspect.Request = core::Digest(static_cast<std::uint64_t>(In.requestDigest));
  for (const std::int64_t Crash : In.crashes)
    Suspect.Crashes.emplace_back(static_cast<std::uint64_t>(Crash));
  return Suspect;
}

/// Values of enumerations that this program does not know.
std::optional<core::Error> unknownValue(const gen::HostReport &In) {
  const auto Known = [](std::int8_t Value, auto Last) {
    return Value >= 0 && Value <= static_cast<std::int8_t>(Last);
  };
  if (In.__isset.target && !Known(In.target.state, mesh::TargetState::Down))
    return core::Error{core::ErrorCode::WireMalformed, "state of a target"};
  for (const gen::MoveReport &Move : In.moves)
    if (!Known(Move.phase, mesh::MovePhase::RolledBack))
      return core::Error{core::ErrorCode::WireMalformed, "phase of a move"};
  return std::nullopt;
}

} // namespace

std::string encode(const mesh::HostReport &Report) {
  gen::HostReport Out;
  Out.node = Report.Node.value();
  Out.start = static_cast<std::int64_t>(Report.Incarnation.value());
  Out.sequence = static_cast<std::int64_t>(Report.Sequence);
  Out.address = Report.Address;
  Out.dataCentre = Report.DataCentre.value();
  Out.region = Report.Region.value();
  Out.leaving = Report.Leaving;
  if (Report.ExitsIn)
    Out.__set_exitsInMs(Report.ExitsIn->count());
  if (Report.Target)
    Out.__set_target(toThrift(*Report.Target));
  if (Report.Departed)
    Out.__set_left(toThrift(*Report.Departed));
  if (Report.RecipientDeparted)
    Out.__set_recipientLeft(toThrift(*Report.RecipientDeparted));
  Out.position = offsetOf(Report.Position);
  if (Report.Position.era().value() > 0)
    Out.__set_era(eraOf(Report.Position));
  if (Report.LostRecords != core::Digest())
    Out.__set_lostRecords(
        static_cast<std::int64_t>(Report.LostRecords.value()));
  Out.storeReachable = Report.StoreReachable;
  for (const mesh::MoveReport &Move : Report.Moves)
    Out.moves.push_back(toThrift(Move));
  if (!Report.Suspects.empty())
    Out.__isset.suspects = true;
  for (const mesh::SuspectRequest &Suspect : Report.Suspects)
    Out.suspects.push_back(toThrift(Suspect));
  return toCompact(Out);
}

core::Result<mesh::HostReport> decodeHostReport(std::string_view Bytes) {
  const auto Decoded = fromCompact<gen::HostReport>(Bytes, MaxReportBytes);
  if (!core::ok(Decoded))
    return core::failure(Decoded);
  const gen::HostReport &In = core::value(Decoded);
  if (auto Fault = unknownValue(In))
    return *Fault;
  mesh::HostReport Report;
  Report.Node = core::NodeId(In.node);
  Report.Incarnation = core::Incarnation(count(In.start));
  Report.Sequence = count(In.sequence);
  Report.Address = In.address;
  Report.DataCentre = core::DataCentreId(In.dataCentre);
  Report.Region = core::RegionId(In.region);
  Report.Leaving = In.leaving;
  if (In.__isset.exitsInMs)
    Report.ExitsIn = millis(In.exitsInMs);
  if (In.__isset.target)
    Report.Target = fromThrift(In.target);
  if (In.__isset.left)
    Report.Departed = fromThrift(In.left);
  if (In.__isset.recipientLeft)
    Report.RecipientDeparted = fromThrift(In.recipientLeft);
  Report.Position = positionOf(In.era, In.position);
  Report.LostRecords = core::Digest(static_cast<std::uint64_t>(In.lostRecords));
  Report.StoreReachable = In.storeReachable;
  for (const gen::MoveReport &Move : In.moves)
    Report.Moves.push_back({core::ServiceName(Move.serviceName),
                            core::TargetVersion(Move.toVersion),
                            positionOf(Move.orderEra, Move.order),
                            static_cast<mesh::MovePhase>(Move.phase),
                            millis(Move.elapsedMs)});
  for (const gen::SuspectRequest &Suspect : In.suspects)
    Report.Suspects.push_back(fromThrift(Suspect));
  return Report;
}

std::string encode(const mesh::RecordEntries &Entries) {
  gen::OperatorRecords Out;
  Out.position = offsetOf(Entries.Position);
  Out.__set_era(eraOf(Entries.Position));
  if (Entries.LowestEnd.era() == Entries.Position.era())
    Out.__set_lowestEnd(offsetOf(Entries.LowestEnd));
  for (const mesh::RecordEntry &Each : Entries.Entries) {
    gen::OperatorRecord Record;
    Record.key = Each.Record.Key;
    Record.offset = offsetOf(Each.Record.Position);
    Record.value = Each.Record.Value;
    Record.__set_era(eraOf(Each.Record.Position));
    if (Each.SeenAt != Each.Record.Position) {
      Record.__set_seenOffset(offsetOf(Each.SeenAt));
      Record.__set_seenEra(eraOf(Each.SeenAt));
    }
    if (Each.Superseded)
      Record.__set_superseded(true);
    Out.records.push_back(std::move(Record));
  }
  return compressed(toCompact(Out));
}

core::Result<mesh::RecordEntries> decodeRecordEntries(std::string_view Bytes) {
  const auto Plain = uncompressed(Bytes);
  if (!core::ok(Plain))
    return core::failure(Plain);
  const auto Decoded =
      fromCompact<gen::OperatorRecords>(core::value(Plain), MaxRecordsBytes);
  if (!core::ok(Decoded))
    return core::failure(Decoded);
  const gen::OperatorRecords &In = core::value(Decoded);
  mesh::RecordEntries Out;
  Out.Position = positionOf(In.era, In.position);
  Out.LowestEnd =
      In.__isset.lowestEnd ? positionOf(In.era, In.lowestEnd) : Out.Position;
  for (const gen::OperatorRecord &Each : In.records) {
    const mesh::StorePosition Written = positionOf(Each.era, Each.offset);
    Out.Entries.push_back({{Each.key, Written, Each.value},
                           Each.__isset.seenOffset
                               ? positionOf(Each.seenEra, Each.seenOffset)
                               : Written,
                           Each.superseded});
  }
  return Out;
}

} // namespace filbertvane::wire
