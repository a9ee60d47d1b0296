#include "filbertvane/decision/request/claims/ClaimKeeper.h"
#include "filbertvane/decision/request/claims/Key.h"
#include <algorithm>

namespace filbertvane::decision::request::claims {

namespace {

using core::ErrorCode;
using observe::EventId;
using Stage = KeeperState::OpenBatch::Stage;

/// Maximum age of a batch that is appended again: half of `MaxClockSkew`, which
/// must also cover the difference between clocks.
constexpr core::Seconds MaxAppendAge = MaxClockSkew / 2;

/// Applies one event to the state of a claim keeper.
class KeeperReduction {
public:
  KeeperReduction(KeeperState &Keeper, KeeperEffects &Out, core::Instant Now)
      : Keeper(Keeper), Out(Out), Now(Now) {}

  void operator()(const BecameKeeper &);
  void operator()(const CeasedToBeKeeper &);
  void operator()(const ClaimRequested &Request);
  void operator()(const BatchDue &);
  void operator()(const AppendAcknowledged &Append);
  void operator()(const AppendFailed &Append);
  void operator()(const AppendUnknown &Append);
  void operator()(const RecordsRead &Read);
  void operator()(const ReadFailed &Read);

private:
  using PendingClaim = KeeperState::PendingClaim;

  void read();
  void recordTrim(const RecordsRead &Read);
  void applyBatch(const ClaimBatch &Batch);
  void resolveUnconfirmed(const RecordsRead &Read);
  void append();
  bool awaitsAppendResult(std::uint64_t Sequence) const;
  bool replyIfDecided(const PendingClaim &Pending);
  void replyDecided();
  void expire();
  void refuse(const PendingClaim &Pending, core::Error Reason);
  void refuseAll(ErrorCode Reason);
  void releaseBatch();
  void log(EventId Id, std::string Detail = {});

  KeeperState &Keeper;
  KeeperEffects &Out;
  core::Instant Now;
};

void KeeperReduction::log(EventId Id, std::string Detail) {
  Out.emplace_back(observe::LogEvent{Id, std::move(Detail)});
}

void KeeperReduction::refuse(const PendingClaim &Pending, core::Error Reason) {
  Out.emplace_back(ClaimReply{Pending.RequestId, {}, std::move(Reason)});
}

void KeeperReduction::refuseAll(ErrorCode Reason) {
  for (const PendingClaim &Pending : Keeper.PendingClaims)
    refuse(Pending, {Reason, Pending.KeyClaim.Key.value()});
  Keeper.PendingClaims.clear();
}

void KeeperReduction::read() {
  if (!Keeper.Active || Keeper.ReadInProgress)
    return;
  Keeper.ReadInProgress = true;
  const bool Wait = Keeper.CaughtUp && !Keeper.CurrentBatch;
  Out.emplace_back(
      ReadStream{++Keeper.LastReadNumber, Keeper.NextOffset, Wait});
}

/// A node that becomes keeper again starts from scratch, because it did not
/// read the stream in the meantime.
void KeeperReduction::operator()(const BecameKeeper &) {
  if (Keeper.Active)
    return;
  log(EventId::ClaimKeeperStarted, Keeper.Config.Writer.value());
  Keeper.Active = true;
  Keeper.CaughtUp = false;
  Keeper.ReadInProgress = false;
  Keeper.NextOffset = core::LogOffset(0);
  Keeper.Table = ClaimTable(Keeper.Config.MaxKeys);
  read();
}

void KeeperReduction::operator()(const CeasedToBeKeeper &) {
  if (!Keeper.Active)
    return;
  log(EventId::ClaimKeeperStopped, Keeper.Config.Writer.value());
  refuseAll(ErrorCode::ClaimKeeperChanged);
  Keeper.Active = false;
  Keeper.CurrentBatch.reset();
}

/// @return true when the claim was decided and the reply was sent
bool KeeperReduction::replyIfDecided(const PendingClaim &Pending) {
  const auto Decided = Keeper.Table.findOwner(Pending.KeyClaim);
  if (!Decided)
    return false;
  if (core::ok(*Decided))
    Out.emplace_back(ClaimReply{Pending.RequestId, core::value(*Decided), {}});
  else
    refuse(Pending, core::failure(*Decided));
  return true;
}

void KeeperReduction::operator()(const ClaimRequested &Request) {
  const PendingClaim Pending{Request.RequestId, Request.KeyClaim,
                             Request.Deadline};
  if (!Keeper.Active)
    return refuse(Pending, {ErrorCode::ClaimKeeperChanged, ""});
  const auto Checked =
      checkKey(Pending.KeyClaim.Key, Now.Wall, Keeper.Config.Retention);
  if (!core::ok(Checked))
    return refuse(Pending, core::failure(Checked));
  if (Now.Mono >= Pending.Deadline)
    return refuse(Pending, {ErrorCode::ClaimUndecided, "deadline has passed"});
  if (Keeper.CaughtUp && replyIfDecided(Pending))
    return;
  if (Keeper.PendingClaims.size() >= Keeper.Config.MaxPendingClaims) {
    log(EventId::ClaimWaitingLimit);
    return refuse(Pending, {ErrorCode::ClaimLimitReached, ""});
  }
  Keeper.PendingClaims.push_back(Pending);
}

void KeeperReduction::expire() {
  std::erase_if(Keeper.PendingClaims, [this](const PendingClaim &Pending) {
    if (Now.Mono < Pending.Deadline)
      return false;
    refuse(Pending, {ErrorCode::ClaimUndecided, Pending.KeyClaim.Key.value()});
    return true;
  });
}

void KeeperReduction::operator()(const BatchDue &) {
  if (!Keeper.Active)
    return;
  expire();
  Keeper.Table.eraseBefore(Now.Wall - Keeper.Config.Retention - MaxClockSkew);
  append();
  read();
}

void KeeperReduction::append() {
  if (Keeper.CurrentBatch || !Keeper.CaughtUp)
    return;
  ClaimBatch Batch;
  for (PendingClaim &Pending : Keeper.PendingClaims) {
    if (Batch.Claims.size() >= Keeper.Config.MaxBatchClaims)
      break;
    Batch.Claims.push_back(Pending.KeyClaim);
    Pending.InBatch = true;
  }
  if (Batch.Claims.empty())
    return;
  const auto Millis =
      static_cast<std::uint64_t>(Now.Wall.time_since_epoch().count());
  Keeper.LastSequence = std::max(Keeper.LastSequence + 1, Millis);
  Batch.Writer = Keeper.Config.Writer;
  Batch.Sequence = Keeper.LastSequence;
  Out.emplace_back(AppendBatch{Batch});
  Keeper.CurrentBatch = KeeperState::OpenBatch{std::move(Batch)};
}

bool KeeperReduction::awaitsAppendResult(std::uint64_t Sequence) const {
  return Keeper.CurrentBatch &&
         Keeper.CurrentBatch->Batch.Sequence == Sequence &&
         Keeper.CurrentBatch->CurrentStage == Stage::Sent;
}

void KeeperReduction::operator()(const AppendAcknowledged &Append) {
  if (!awaitsAppendResult(Append.Sequence))
    return;
  Keeper.CurrentBatch->CurrentStage = Stage::Acknowledged;
  read();
}

void KeeperReduction::releaseBatch() {
  for (PendingClaim &Pending : Keeper.PendingClaims)
    Pending.InBatch = false;
  Keeper.CurrentBatch.reset();
}

/// The append had no effect, so its claims go into the next batch.
void KeeperReduction::operator()(const AppendFailed &Append) {
  if (awaitsAppendResult(Append.Sequence))
    releaseBatch();
}

/// A read that is already in progress may return the stream as it was before
/// the append. Only a read that starts now shows whether the append took
/// effect.
void KeeperReduction::operator()(const AppendUnknown &Append) {
  if (!awaitsAppendResult(Append.Sequence))
    return;
  log(EventId::ClaimAppendUnsettled, Keeper.Config.Writer.value());
  Keeper.CurrentBatch->CurrentStage = Stage::Unconfirmed;
  Keeper.CurrentBatch->ConfirmingRead = Keeper.LastReadNumber + 1;
  read();
}

void KeeperReduction::operator()(const ReadFailed &Read) {
  if (Read.ReadNumber == Keeper.LastReadNumber)
    Keeper.ReadInProgress = false;
}

/// Trimmed records are older than the first remaining record, whose sequence is
/// its time. If no record remains, the trimmed ones may be as recent as now.
void KeeperReduction::recordTrim(const RecordsRead &Read) {
  if (Read.FirstOffset <= Keeper.NextOffset)
    return;
  log(EventId::ClaimHistoryTrimmed, Keeper.Config.Writer.value());
  core::WallTime Oldest = Now.Wall;
  if (!Read.Batches.empty())
    Oldest = core::WallTime(core::Milliseconds(
        static_cast<std::int64_t>(Read.Batches.front().Batch.Sequence)));
  Keeper.Table.markIncompleteBefore(Oldest + MaxClockSkew);
}

void KeeperReduction::applyBatch(const ClaimBatch &Batch) {
  if (Keeper.Table.apply(Batch))
    log(EventId::ClaimKeyLimit, Keeper.Config.Writer.value());
  const bool IsCurrentBatch =
      Keeper.CurrentBatch &&
      Keeper.CurrentBatch->Batch.Writer == Batch.Writer &&
      Keeper.CurrentBatch->Batch.Sequence == Batch.Sequence;
  if (IsCurrentBatch)
    releaseBatch();
}

void KeeperReduction::operator()(const RecordsRead &Read) {
  if (!Keeper.Active || Read.ReadNumber != Keeper.LastReadNumber)
    return;
  Keeper.ReadInProgress = false;
  recordTrim(Read);
  for (const StoredBatch &Stored : Read.Batches)
    if (Stored.Offset >= Keeper.NextOffset)
      applyBatch(Stored.Batch);
  Keeper.NextOffset = std::max(Keeper.NextOffset, Read.NextOffset);
  Keeper.CaughtUp = Read.NextOffset >= Read.EndOffset;
  if (Keeper.CaughtUp)
    replyDecided();
  resolveUnconfirmed(Read);
  read();
}

/// Replies to the pending claims whose key has an owner; the others keep
/// waiting.
void KeeperReduction::replyDecided() {
  std::erase_if(Keeper.PendingClaims, [this](const PendingClaim &Pending) {
    // A claim in the current batch is decided only by its own record or an
    // earlier one of the key; either has been read already or will be.
    return replyIfDecided(Pending);
  });
}

/// The same batch is appended again with the same sequence, so that readers
/// skip the duplicate if the first append takes effect later.
void KeeperReduction::resolveUnconfirmed(const RecordsRead &Read) {
  if (!Keeper.CurrentBatch ||
      Keeper.CurrentBatch->CurrentStage != Stage::Unconfirmed)
    return;
  if (!Keeper.CaughtUp || Read.ReadNumber < Keeper.CurrentBatch->ConfirmingRead)
    return;
  // Readers use the sequence as the time of the head of a trimmed stream, so an
  // old one must not be appended. The claims go into a new batch.
  const auto Age = Now.Wall.time_since_epoch() -
                   core::Milliseconds(Keeper.CurrentBatch->Batch.Sequence);
  if (Age > MaxAppendAge)
    return releaseBatch();
  Keeper.CurrentBatch->CurrentStage = Stage::Sent;
  Out.emplace_back(AppendBatch{Keeper.CurrentBatch->Batch});
}

} // namespace

Step<KeeperState, KeeperEffects>
reduce(KeeperState Current, const KeeperEvent &Input, core::Instant Now) {
  KeeperEffects Out;
  KeeperReduction Run(Current, Out, Now);
  std::visit(Run, Input);
  return {std::move(Current), std::move(Out)};
}

} // namespace filbertvane::decision::request::claims
