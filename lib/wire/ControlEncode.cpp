#include "RecordThrift.h"
#include "filbertvane/core/Digest.h"
#include "filbertvane/wire/ControlCodec.h"
#include "filbertvane_types.h"
#include <array>
#include <fmt/format.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace filbertvane::wire {

namespace {

namespace membership = decision::membership;
namespace distribution = decision::distribution;

template <typename T> std::int64_t number(const T &Value) {
  return static_cast<std::int64_t>(Value);
}

std::int64_t millis(core::WallTime When) {
  return When.time_since_epoch().count();
}

template <typename From, typename Fill>
auto eachOf(const std::vector<From> &All, Fill Convert) {
  std::vector<decltype(Convert(All.front()))> Out;
  Out.reserve(All.size());
  for (const From &One : All)
    Out.push_back(Convert(One));
  return Out;
}

gen::Target toGen(const membership::TargetAnnouncement &From) {
  gen::Target To;
  To.id = From.Id.value();
  To.serviceName = From.Service.value();
  To.version = From.Version.value();
  To.slots = static_cast<std::int32_t>(From.Slots);
  To.sinceMs = millis(From.Since);
  To.leaving = From.Leaving;
  return To;
}

gen::Member toGen(const membership::Member &From) {
  gen::Member To;
  To.node = From.Node.value();
  To.incarnation = number(From.Incarnation.value());
  To.status =
      static_cast<gen::MemberStatus::type>(static_cast<int>(From.Status) + 1);
  To.controlAddress = From.ControlAddress;
  To.peerAddress = From.PeerAddress;
  if (From.Target)
    To.__set_target(toGen(*From.Target));
  To.revision = number(From.Revision);
  To.ready = From.Ready;
  return To;
}

std::vector<gen::Member> toGen(const std::vector<membership::Member> &All) {
  return eachOf(All, [](const auto &One) { return toGen(One); });
}

gen::Position toGen(const decision::Position &From) {
  gen::Position To;
  To.nextOffset = number(From.NextOffset.value());
  To.digest = number(From.StateDigest.value());
  To.version = number(From.Version.value());
  To.ready = From.Ready;
  return To;
}

gen::ServiceSummary toGen(const ServiceSummary &From) {
  gen::ServiceSummary To;
  To.serviceName = From.Service.value();
  To.version = From.Version.value();
  To.targets = static_cast<std::int32_t>(From.Targets);
  To.slots = static_cast<std::int32_t>(From.Slots);
  To.freeSlots = static_cast<std::int32_t>(From.FreeSlots);
  To.entryAddresses = From.EntryAddresses;
  return To;
}

gen::DataCentreSummary toGen(const DataCentreSummary &From) {
  gen::DataCentreSummary To;
  To.dataCentre = From.DataCentre.value();
  To.region = From.Region.value();
  To.revision = number(From.Revision);
  To.services =
      eachOf(From.Services, [](const auto &One) { return toGen(One); });
  To.lowestVersion = number(From.LowestVersion.value());
  To.leadAddresses = From.LeadAddresses;
  To.lowestNext = number(From.LowestNext.value());
  To.leadNode = From.LeadNode.value();
  To.servicesSince = number(From.ServicesSince);
  To.partial = From.Partial;
  return To;
}

gen::RouteEvidence toGen(const RouteEvidence &From) {
  const auto Number = [](std::uint64_t One) { return number(One); };
  gen::RouteEvidence To;
  To.route = From.Route.value();
  To.newAnswers = number(From.NewAnswers);
  To.newFaults = number(From.NewFaults);
  To.oldAnswers = number(From.OldAnswers);
  To.oldFaults = number(From.OldFaults);
  To.newLatency = eachOf(From.NewLatency, Number);
  To.oldLatency = eachOf(From.OldLatency, Number);
  const auto Crash = [](core::Digest One) { return number(One.value()); };
  To.newCrashes = eachOf(From.NewCrashes, Crash);
  To.oldCrashes = eachOf(From.OldCrashes, Crash);
  return To;
}

gen::MoveEvidence toGen(const MoveEvidence &From) {
  gen::MoveEvidence To;
  To.move = toThrift(From.Move);
  To.routes = eachOf(From.Routes, [](const auto &One) { return toGen(One); });
  return To;
}

void fill(gen::ControlMessage &To, const Hello &From) {
  gen::Hello Out;
  Out.node = From.Node.value();
  Out.dataCentre = From.DataCentre.value();
  Out.region = From.Region.value();
  Out.incarnation = number(From.Number.value());
  Out.controlAddress = From.ControlAddress;
  Out.proof = fmt::format("{:016x}", From.Proof.value());
  To.__set_hello(Out);
}

void fill(gen::ControlMessage &To, const membership::Probe &From) {
  gen::Probe Out;
  Out.sequence = number(From.Sequence);
  Out.position = toGen(From.ConfigPosition);
  Out.updates = toGen(From.Updates);
  To.__set_probe(Out);
}

void fill(gen::ControlMessage &To, const membership::ProbeAck &From) {
  gen::ProbeAck Out;
  Out.sequence = number(From.Sequence);
  Out.position = toGen(From.ConfigPosition);
  Out.updates = toGen(From.Updates);
  To.__set_probeAck(Out);
}

void fill(gen::ControlMessage &To, const membership::IndirectProbe &From) {
  gen::IndirectProbe Out;
  Out.sequence = number(From.Sequence);
  Out.target = From.Target.value();
  To.__set_indirectProbe(Out);
}

void fill(gen::ControlMessage &To, const membership::IndirectProbeAck &From) {
  gen::IndirectProbeAck Out;
  Out.sequence = number(From.Sequence);
  Out.target = From.Target.value();
  To.__set_indirectProbeAck(Out);
}

void fill(gen::ControlMessage &To, const membership::JoinRequest &From) {
  gen::JoinRequest Out;
  Out.member = toGen(From.Self);
  To.__set_joinRequest(Out);
}

void fill(gen::ControlMessage &To, const membership::JoinReply &From) {
  gen::JoinReply Out;
  Out.members = toGen(From.Members);
  Out.position = toGen(From.ConfigPosition);
  To.__set_joinReply(Out);
}

void fill(gen::ControlMessage &To, const membership::Leave &From) {
  gen::Leave Out;
  Out.member = toGen(From.Self);
  To.__set_leave(Out);
}

void fill(gen::ControlMessage &To, const distribution::RecordBatch &From) {
  gen::Records Out;
  Out.first = number(From.FirstOffset.value());
  Out.records = eachOf(From.Records, [](const auto &One) {
    gen::StoredRecord Record;
    Record.offset = number(One.Offset.value());
    Record.record = One.Bytes;
    return Record;
  });
  Out.after = toGen(From.PositionAfter);
  Out.logEnd = static_cast<gen::LogEnd::type>(From.EndStatus);
  To.__set_records(Out);
}

void fill(gen::ControlMessage &To, const distribution::RecordsRequest &From) {
  gen::RecordsRequest Out;
  Out.first = number(From.FirstOffset.value());
  Out.wantsSnapshot = From.WantsSnapshot;
  Out.wantsEnd = From.WantsLogEnd;
  To.__set_recordsRequest(Out);
}

void fill(gen::ControlMessage &To, const distribution::Snapshot &From) {
  gen::Snapshot Out;
  Out.position = toGen(From.ConfigPosition);
  Out.state = From.State;
  To.__set_snapshot(Out);
}

void fill(gen::ControlMessage &To, const Summaries &From) {
  gen::Summaries Out;
  Out.dataCentres =
      eachOf(From.DataCentres, [](const auto &One) { return toGen(One); });
  To.__set_summaries(Out);
}

void fill(gen::ControlMessage &To, const Evidence &From) {
  gen::Evidence Out;
  Out.sender = From.Sender.value();
  Out.incarnation = number(From.Number.value());
  Out.revision = number(From.Revision);
  Out.moves = eachOf(From.Moves, [](const auto &One) { return toGen(One); });
  To.__set_evidence(Out);
}

void fill(gen::ControlMessage &To, const LocalRollback &From) {
  gen::LocalRollback Out;
  Out.move = toThrift(From.Move);
  Out.dataCentre = From.DataCentre.value();
  Out.decided = toThrift(From.Decided);
  Out.atMs = millis(From.At);
  Out.share = static_cast<std::int16_t>(From.Share);
  Out.proven = From.Proven;
  To.__set_localRollback(Out);
}

void fill(gen::ControlMessage &To, const Suspect &From) {
  gen::Suspect Out;
  Out.requestDigest = number(From.RequestDigest.value());
  Out.crashes = static_cast<std::int32_t>(From.Crashes);
  To.__set_suspect(Out);
}

void fill(gen::ControlMessage &To, const ClaimRequest &From) {
  gen::ClaimRequest Out;
  Out.id = number(From.Id);
  Out.claim.key = From.Key.value();
  Out.claim.owner = From.Owner.value();
  Out.claim.requestDigest = number(From.RequestDigest.value());
  Out.deadlineMs = millis(From.Deadline);
  To.__set_claimRequest(Out);
}

void fill(gen::ControlMessage &To, const ClaimReply &From) {
  gen::ClaimReply Out;
  Out.id = number(From.Id);
  Out.owner = From.Owner.value();
  Out.errorCode = From.Undecided ? static_cast<int>(*From.Undecided) : 0;
  To.__set_claimReply(Out);
}

} // namespace

core::Result<std::string> encode(const ControlMessage &Message) {
  gen::ControlMessage Out;
  std::visit([&Out](const auto &One) { fill(Out, One); }, Message);
  try {
    const auto Buffer =
        std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<
        apache::thrift::transport::TMemoryBuffer>
        Protocol(Buffer);
    Out.write(&Protocol);
    std::string Bytes = Buffer->getBufferAsString();
    if (Bytes.size() > MaxFrameBytes)
      return core::Error{core::ErrorCode::WireTooLarge,
                         std::string(kindName(Message.index()))};
    return Bytes;
  } catch (const std::exception &Failure) {
    return core::Error{core::ErrorCode::WireTooLarge, Failure.what()};
  }
}

core::Digest helloProof(const Hello &Of, std::string_view SharedKey) {
  // Lengths keep two different sets of fields from having the same text.
  const std::string Text = fmt::format(
      "{}:{}|{}:{}|{}:{}|{}|{}:{}|{}", Of.Node.value().size(), Of.Node.value(),
      Of.DataCentre.value().size(), Of.DataCentre.value(),
      Of.Region.value().size(), Of.Region.value(), Of.Number.value(),
      Of.ControlAddress.size(), Of.ControlAddress, SharedKey);
  return core::digestOf(Text, core::digestOf(SharedKey).value());
}

std::string_view kindName(std::size_t Kind) {
  static constexpr std::array<std::string_view, MessageKinds> Names{
      "hello",        "probe",           "probe-ack",  "indirect-probe",
      "indirect-ack", "join-request",    "join-reply", "leave",
      "records",      "records-request", "snapshot",   "summaries",
      "evidence",     "local-rollback",  "suspect",    "claim-request",
      "claim-reply"};
  return Kind < Names.size() ? Names[Kind] : "unknown";
}

} // namespace filbertvane::wire
