#include "ClaimStreams.h"
#include "../proxy/KeptAnswerCodec.h"
#include "filbertvane/wire/RecordCodec.h"
#include <fmt/format.h>

namespace filbertvane::io {

namespace claims = decision::request::claims;

namespace {

constexpr core::Milliseconds AppendTimeout{2000};
constexpr core::Milliseconds ReadWait{2000};
constexpr std::size_t ReadBytes = std::size_t{512} * 1024;

std::string streamOf(std::uint32_t Number) {
  return fmt::format("claims.{}", Number);
}

constexpr char AddressMark = '@';
/// A fleet has some thousand nodes; replaced ones are forgotten at the limit.
constexpr std::size_t MaxAddresses = 8192;

} // namespace

std::string
ClaimStreams::textOf(const decision::request::ClaimOwner &Owner) const {
  return formatOwner(Owner) + AddressMark + addressOf(Owner.Node);
}

std::optional<decision::request::ClaimOwner>
ClaimStreams::ownerOf(std::string_view Text) {
  const std::size_t Mark = Text.rfind(AddressMark);
  if (Mark == std::string_view::npos)
    return std::nullopt;
  auto Owner = parseOwner(Text.substr(0, Mark));
  if (!Owner || Mark + 1 == Text.size())
    return Owner;
  if (Addresses.size() >= MaxAddresses)
    Addresses.clear();
  Addresses[Owner->Node] = Text.substr(Mark + 1);
  return Owner;
}

std::string ClaimStreams::addressOf(const core::NodeId &Owner) const {
  if (Owner == Self)
    return PeerAddress;
  const auto Found = Addresses.find(Owner);
  return Found == Addresses.end() ? std::string() : Found->second;
}

std::string ClaimStreams::encodeBatch(const claims::ClaimBatch &Batch) const {
  wire::ClaimBatch Message{Batch.Writer, Batch.Sequence, {}};
  for (const claims::Claim &Each : Batch.Claims)
    Message.Claims.push_back(
        {Each.Key, core::NodeId(textOf(Each.Owner)), Each.RequestDigest});
  return wire::encode(Message);
}

/// A record that cannot be decoded claims nothing, for every reader alike.
claims::ClaimBatch ClaimStreams::decodeBatch(const std::string &Bytes) {
  const auto Decoded = wire::decodeClaims(Bytes);
  if (!core::ok(Decoded))
    return {};
  const wire::ClaimBatch &Message = core::value(Decoded);
  claims::ClaimBatch Batch{Message.Writer, Message.Sequence, {}};
  for (const wire::Claim &Each : Message.Claims)
    if (const auto Owner = ownerOf(Each.Owner.value()))
      Batch.Claims.push_back({Each.Key, *Owner, Each.RequestDigest});
  return Batch;
}

std::uint32_t claimPartition(const core::IdempotencyKey &Key) {
  return static_cast<std::uint32_t>(core::digestOf(Key.value()).value() %
                                    ClaimPartitions);
}

ClaimStreams::ClaimStreams(Surroundings Around, core::NodeId Self,
                           std::string PeerAddress,
                           const core::WriterId &Writer,
                           core::Seconds Retention)
    : Around(std::move(Around)), Self(std::move(Self)),
      PeerAddress(std::move(PeerAddress)),
      BatchTimer(this->Around.Loop, [this] {
        for (std::uint32_t Number = 0; Number < ClaimPartitions; ++Number)
          if (Partitions[Number].State.Active)
            handle(Number, claims::BatchDue{});
      }) {
  for (std::uint32_t Number = 0; Number < ClaimPartitions; ++Number) {
    claims::KeeperSettings Keeper;
    Keeper.Writer =
        core::WriterId(fmt::format("{}/{}", Writer.value(), Number));
    Keeper.Retention = Retention;
    Partitions.emplace_back(std::move(Keeper));
  }
}

void ClaimStreams::request(const decision::request::RequestClaim &What) {
  const std::uint32_t Number = claimPartition(What.Key);
  const auto Keeper = Around.KeeperOf(Number);
  if (!Keeper)
    return;
  if (Keeper->Node == Self) {
    claim(Number, {"", What.Id.value()},
          {What.Key, What.Owner, What.RequestDigest}, What.Deadline);
    return;
  }
  const core::Instant Now = Around.Loop.now();
  Around.Control.send(Keeper->Address,
                      wire::ClaimRequest{What.Id.value(), What.Key,
                                         core::NodeId(textOf(What.Owner)),
                                         What.RequestDigest,
                                         core::toWall(What.Deadline, Now)});
}

void ClaimStreams::requested(const decision::Peer &From,
                             const wire::ClaimRequest &What) {
  const auto Owner = ownerOf(What.Owner.value());
  if (!Owner)
    return;
  claim(claimPartition(What.Key), {From.Address, What.Id},
        {What.Key, *Owner, What.RequestDigest},
        core::toMonotonic(What.Deadline, Around.Loop.now()));
}

void ClaimStreams::claim(std::uint32_t Number, Requester By,
                         const claims::Claim &What, core::TimePoint Deadline) {
  const std::uint64_t Request = ++LastRequest;
  Requesters[Request] = std::move(By);
  handle(Number, claims::ClaimRequested{Request, What, Deadline});
  BatchTimer.arm(Around.Loop.now().Mono + ClaimBatchPeriod);
}

void ClaimStreams::replied(const wire::ClaimReply &What) {
  decision::request::ClaimDecided Decided;
  Decided.Id = core::CallId(What.Id);
  if (What.Undecided)
    Decided.Failure = core::Error{*What.Undecided, ""};
  else if (const auto Owner = ownerOf(What.Owner.value()))
    Decided.Owner = *Owner;
  else
    return;
  Around.OnDecided(Decided);
}

void ClaimStreams::reply(const claims::ClaimReply &What) {
  const auto Found = Requesters.find(What.RequestId);
  if (Found == Requesters.end())
    return;
  const Requester By = std::move(Found->second);
  Requesters.erase(Found);
  if (By.Address.empty()) {
    Around.OnDecided({core::CallId(By.Id), What.Owner, What.Failure});
    return;
  }
  wire::ClaimReply Message{By.Id, core::NodeId(textOf(What.Owner)), {}};
  if (What.Failure)
    Message.Undecided = What.Failure->Code;
  Around.Control.send(By.Address, Message);
}

void ClaimStreams::tick(bool Ready) {
  for (std::uint32_t Number = 0; Number < ClaimPartitions; ++Number) {
    const auto Keeper = Ready ? Around.KeeperOf(Number) : std::nullopt;
    const bool Mine = Keeper && Keeper->Node == Self;
    const bool Active = Partitions[Number].State.Active;
    if (Mine && !Active)
      handle(Number, claims::BecameKeeper{});
    else if (!Mine && Active)
      handle(Number, claims::CeasedToBeKeeper{});
    else if (Active)
      handle(Number, claims::BatchDue{});
  }
}

void ClaimStreams::handle(std::uint32_t Number, const KeeperEvent &What) {
  claims::KeeperState &State = Partitions[Number].State;
  auto Next = claims::reduce(std::move(State), What, Around.Loop.now());
  State = std::move(Next.NextState);
  for (const claims::KeeperEffect &Each : Next.EmittedEffects)
    std::visit(
        core::Overloaded{
            [&](const claims::AppendBatch &Do) { append(Number, Do); },
            [&](const claims::ReadStream &Do) { read(Number, Do); },
            [&](const claims::ClaimReply &Do) { reply(Do); },
            [](const observe::LogEvent &Event) { observe::writeLog(Event); }},
        Each);
}

void ClaimStreams::append(std::uint32_t Number,
                          const claims::AppendBatch &What) {
  const std::uint64_t Sequence = What.Batch.Sequence;
  Around.Log.append(
      streamOf(Number), encodeBatch(What.Batch),
      Around.Loop.now().Mono + AppendTimeout,
      [this, Number, Sequence](const core::Result<core::LogOffset> &Done) {
        if (core::ok(Done))
          handle(Number, claims::AppendAcknowledged{Sequence});
        else if (core::failure(Done).Code == core::ErrorCode::LogRejected)
          handle(Number, claims::AppendFailed{Sequence});
        else
          handle(Number, claims::AppendUnknown{Sequence});
      });
}

void ClaimStreams::read(std::uint32_t Number, const claims::ReadStream &What) {
  const core::Milliseconds Wait =
      What.WaitForRecords ? ReadWait : core::Milliseconds(0);
  Around.Log.read(
      streamOf(Number), What.FromOffset, Wait, ReadBytes,
      Around.Loop.now().Mono,
      [this, Number, What](const core::Result<LogRead> &Done) {
        if (!core::ok(Done)) {
          handle(Number, claims::ReadFailed{What.ReadNumber});
          return;
        }
        const LogRead &Read = core::value(Done);
        if (Read.Trimmed) {
          // The oldest record left tells how far the history reaches back.
          read(Number, {What.ReadNumber, Read.First, false});
          return;
        }
        claims::RecordsRead Event;
        Event.ReadNumber = What.ReadNumber;
        Event.FirstOffset = Read.First;
        Event.NextOffset = Read.Next;
        // More records may follow an answer that holds some.
        const bool More = !Read.Records.empty();
        Event.EndOffset =
            core::LogOffset(Event.NextOffset.value() + (More ? 1 : 0));
        for (std::size_t I = 0; I < Read.Records.size(); ++I)
          Event.Batches.push_back({core::LogOffset(Read.First.value() + I),
                                   decodeBatch(Read.Records[I])});
        handle(Number, Event);
      });
}

} // namespace filbertvane::io
