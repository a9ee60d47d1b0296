#include "RecordThrift.h"
#include "filbertvane/wire/ControlCodec.h"
#include "filbertvane_types.h"
#include <charconv>
#include <stdexcept>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace filbertvane::wire {

namespace {

namespace membership = decision::membership;
namespace distribution = decision::distribution;

/// Elements of one list; the generated code reserves them before it reads.
constexpr std::int32_t MaxElements = 16 * 1024;

std::uint64_t number(std::int64_t Value) {
  return static_cast<std::uint64_t>(Value);
}

/// Thrown inside this file only; `decode` turns it into an error.
[[noreturn]] void malformed(const char *What) {
  throw std::invalid_argument(What);
}

std::uint32_t count(std::int32_t Value) {
  if (Value < 0)
    malformed("negative count");
  return static_cast<std::uint32_t>(Value);
}

core::WallTime wall(std::int64_t Millis) {
  return core::WallTime(core::Milliseconds(Millis));
}

template <typename From, typename Convert>
auto eachOf(const std::vector<From> &All, Convert Make) {
  std::vector<decltype(Make(All.front()))> Out;
  Out.reserve(All.size());
  for (const From &One : All)
    Out.push_back(Make(One));
  return Out;
}

membership::TargetAnnouncement fromGen(const gen::Target &From) {
  return {core::TargetId(From.id),
          core::ServiceName(From.serviceName),
          core::TargetVersion(From.version),
          count(From.slots),
          wall(From.sinceMs),
          From.leaving};
}

membership::Member fromGen(const gen::Member &From) {
  membership::Member To;
  const int Status = static_cast<int>(From.status);
  if (Status < gen::MemberStatus::ALIVE || Status > gen::MemberStatus::LEFT)
    malformed("member status");
  if (From.node.empty())
    malformed("member without id");
  To.Node = core::NodeId(From.node);
  To.Incarnation = core::Incarnation(number(From.incarnation));
  To.Status = static_cast<membership::MemberStatus>(Status - 1);
  To.ControlAddress = From.controlAddress;
  To.PeerAddress = From.peerAddress;
  if (From.__isset.target)
    To.Target = fromGen(From.target);
  To.Revision = number(From.revision);
  To.Ready = From.ready;
  return To;
}

std::vector<membership::Member> fromGen(const std::vector<gen::Member> &All) {
  return eachOf(All, [](const auto &One) { return fromGen(One); });
}

decision::Position fromGen(const gen::Position &From) {
  return {core::LogOffset(number(From.nextOffset)),
          core::Digest(number(From.digest)),
          core::ConfigVersion(number(From.version)), From.ready};
}

ServiceSummary fromGen(const gen::ServiceSummary &From) {
  return {core::ServiceName(From.serviceName),
          core::TargetVersion(From.version),
          count(From.targets),
          count(From.slots),
          count(From.freeSlots),
          From.entryAddresses};
}

DataCentreSummary fromGen(const gen::DataCentreSummary &From) {
  DataCentreSummary To;
  To.DataCentre = core::DataCentreId(From.dataCentre);
  To.Region = core::RegionId(From.region);
  To.Revision = number(From.revision);
  To.Services =
      eachOf(From.services, [](const auto &One) { return fromGen(One); });
  To.LowestVersion = core::ConfigVersion(number(From.lowestVersion));
  To.LowestNext = core::LogOffset(number(From.lowestNext));
  To.LeadAddresses = From.leadAddresses;
  To.LeadNode = core::NodeId(From.leadNode);
  To.ServicesSince = number(From.servicesSince);
  To.Partial = From.partial;
  return To;
}

RouteEvidence fromGen(const gen::RouteEvidence &From) {
  const auto Number = [](std::int64_t One) { return number(One); };
  const auto Crash = [](std::int64_t One) { return core::Digest(number(One)); };
  return {core::RouteName(From.route),     number(From.newAnswers),
          number(From.newFaults),          number(From.oldAnswers),
          number(From.oldFaults),          eachOf(From.newLatency, Number),
          eachOf(From.oldLatency, Number), eachOf(From.newCrashes, Crash),
          eachOf(From.oldCrashes, Crash)};
}

MoveEvidence fromGen(const gen::MoveEvidence &From) {
  return {fromThrift(From.move),
          eachOf(From.routes, [](const auto &One) { return fromGen(One); })};
}

Hello fromGen(const gen::Hello &From) {
  Hello To;
  To.Node = core::NodeId(From.node);
  To.DataCentre = core::DataCentreId(From.dataCentre);
  To.Region = core::RegionId(From.region);
  To.Number = core::Incarnation(number(From.incarnation));
  To.ControlAddress = From.controlAddress;
  std::uint64_t Proof = 0;
  const char *End = From.proof.data() + From.proof.size();
  const auto Parsed = std::from_chars(From.proof.data(), End, Proof, 16);
  if (From.proof.size() != 16 || Parsed.ptr != End)
    malformed("proof");
  To.Proof = core::Digest(Proof);
  return To;
}

distribution::RecordBatch fromGen(const gen::Records &From) {
  distribution::RecordBatch To;
  To.FirstOffset = core::LogOffset(number(From.first));
  To.Records = eachOf(From.records, [](const gen::StoredRecord &One) {
    return distribution::StoredRecord{core::LogOffset(number(One.offset)),
                                      One.record};
  });
  To.PositionAfter = fromGen(From.after);
  const auto End = static_cast<std::int32_t>(From.logEnd);
  if (End < 0 ||
      End > static_cast<std::int32_t>(distribution::LogEndStatus::Unavailable))
    malformed("log end");
  To.EndStatus = static_cast<distribution::LogEndStatus>(End);
  return To;
}

ClaimRequest fromGen(const gen::ClaimRequest &From) {
  return {number(From.id), core::IdempotencyKey(From.claim.key),
          core::NodeId(From.claim.owner),
          core::Digest(number(From.claim.requestDigest)),
          wall(From.deadlineMs)};
}

ClaimReply fromGen(const gen::ClaimReply &From) {
  ClaimReply To{number(From.id), core::NodeId(From.owner), std::nullopt};
  if (From.errorCode != 0)
    To.Undecided = static_cast<core::ErrorCode>(From.errorCode);
  return To;
}

Summaries fromGen(const gen::Summaries &From) {
  return {
      eachOf(From.dataCentres, [](const auto &One) { return fromGen(One); })};
}

Evidence fromGen(const gen::Evidence &From) {
  return {core::NodeId(From.sender),
          core::Incarnation(number(From.incarnation)), number(From.revision),
          eachOf(From.moves, [](const auto &One) { return fromGen(One); })};
}

std::optional<ControlMessage> membershipFrom(const gen::ControlMessage &From) {
  if (From.__isset.probe)
    return membership::Probe{number(From.probe.sequence),
                             fromGen(From.probe.position),
                             fromGen(From.probe.updates)};
  if (From.__isset.probeAck)
    return membership::ProbeAck{number(From.probeAck.sequence),
                                fromGen(From.probeAck.position),
                                fromGen(From.probeAck.updates)};
  if (From.__isset.indirectProbe)
    return membership::IndirectProbe{number(From.indirectProbe.sequence),
                                     core::NodeId(From.indirectProbe.target)};
  if (From.__isset.indirectProbeAck)
    return membership::IndirectProbeAck{
        number(From.indirectProbeAck.sequence),
        core::NodeId(From.indirectProbeAck.target)};
  if (From.__isset.joinRequest)
    return membership::JoinRequest{fromGen(From.joinRequest.member)};
  if (From.__isset.joinReply)
    return membership::JoinReply{fromGen(From.joinReply.members),
                                 fromGen(From.joinReply.position)};
  if (From.__isset.leave)
    return membership::Leave{fromGen(From.leave.member)};
  return std::nullopt;
}

ControlMessage otherFrom(const gen::ControlMessage &From) {
  if (From.__isset.hello)
    return fromGen(From.hello);
  if (From.__isset.records)
    return fromGen(From.records);
  if (From.__isset.recordsRequest)
    return distribution::RecordsRequest{
        core::LogOffset(number(From.recordsRequest.first)),
        From.recordsRequest.wantsSnapshot, From.recordsRequest.wantsEnd};
  if (From.__isset.snapshot)
    return distribution::Snapshot{fromGen(From.snapshot.position),
                                  From.snapshot.state};
  if (From.__isset.summaries)
    return fromGen(From.summaries);
  if (From.__isset.evidence)
    return fromGen(From.evidence);
  if (From.__isset.localRollback)
    return LocalRollback{
        fromThrift(From.localRollback.move),
        core::DataCentreId(From.localRollback.dataCentre),
        fromThrift(From.localRollback.decided),
        wall(From.localRollback.atMs),
        static_cast<config::Permille>(count(From.localRollback.share)),
        From.localRollback.proven};
  if (From.__isset.suspect)
    return Suspect{core::Digest(number(From.suspect.requestDigest)),
                   count(From.suspect.crashes)};
  if (From.__isset.claimRequest)
    return fromGen(From.claimRequest);
  if (From.__isset.claimReply)
    return fromGen(From.claimReply);
  malformed("unknown kind of message");
}

ControlMessage read(std::string_view Bytes) {
  using apache::thrift::transport::TMemoryBuffer;
  // The buffer is only observed; the interface lacks a const variant.
  auto *Data = reinterpret_cast<std::uint8_t *>(
      const_cast<char *>(Bytes.data())); // NOLINT
  const auto Buffer = std::make_shared<TMemoryBuffer>(
      Data, static_cast<std::uint32_t>(Bytes.size()), TMemoryBuffer::OBSERVE,
      std::make_shared<apache::thrift::TConfiguration>(
          static_cast<int>(MaxFrameBytes)));
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> Protocol(
      Buffer, static_cast<std::int32_t>(MaxFrameBytes), MaxElements);
  gen::ControlMessage In;
  In.read(&Protocol);
  if (Buffer->available_read() != 0)
    malformed("bytes after the message");
  if (std::optional<ControlMessage> Message = membershipFrom(In))
    return std::move(*Message);
  return otherFrom(In);
}

} // namespace

core::Result<ControlMessage> decode(std::string_view Bytes) {
  if (Bytes.size() > MaxFrameBytes)
    return core::Error{core::ErrorCode::WireTooLarge, ""};
  try {
    return read(Bytes);
  } catch (const std::exception &Failure) {
    return core::Error{core::ErrorCode::WireMalformed, Failure.what()};
  }
}

} // namespace filbertvane::wire
