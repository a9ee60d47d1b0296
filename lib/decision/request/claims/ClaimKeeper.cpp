#include "filbertvane/decision/request/claims/ClaimKeeper.h"
#include "filbertvane/decision/request/claims/Key.h"
#include <algorithm>

namespace filbertvane::decision::request::claims {

namespace {

using core::ErrorCode;
using observe::EventId;
using Stage = KeeperState::OpenBatch::Stage;

/// Age up to which a batch is appended again; half of the clock margin, which
/// also covers the difference between clocks.
constexpr core::Seconds OldestAppend = MaxClockSkew / 2;

/// One run of the reducer over one event.
class Keeping {
public:
  Keeping(KeeperState &Next, KeeperEffects &Out, core::Instant Now)
      : Next(Next), Out(Out), Now(Now) {}

  void operator()(const BecameKeeper &);
  void operator()(const CeasedToBeKeeper &);
  void operator()(const ClaimRequested &What);
  void operator()(const BatchDue &);
  void operator()(const AppendAcknowledged &What);
  void operator()(const AppendFailed &What);
  void operator()(const AppendUnknown &What);
  void operator()(const RecordsRead &What);
  void operator()(const ReadFailed &What);

private:
  using Pending = KeeperState::PendingClaim;

  void read();
  void noteTrimmed(const RecordsRead &What);
  void applyBatch(const ClaimBatch &Batch);
  void settleOpen(const RecordsRead &What);
  void append();
  bool isOpen(std::uint64_t Sequence) const;
  bool answer(const Pending &Who);
  void answerKnown();
  void expire();
  void refuse(const Pending &Who, core::Error Why);
  void refuseAll(ErrorCode Why);
  void unbatch();
  void log(EventId Id, std::string Detail = {});

  KeeperState &Next;
  KeeperEffects &Out;
  core::Instant Now;
};

void Keeping::log(EventId Id, std::string Detail) {
  Out.emplace_back(observe::LogEvent{Id, std::move(Detail)});
}

void Keeping::refuse(const Pending &Who, core::Error Why) {
  Out.emplace_back(ClaimReply{Who.RequestId, {}, std::move(Why)});
}

void Keeping::refuseAll(ErrorCode Why) {
  for (const Pending &Who : Next.PendingClaims)
    refuse(Who, {Why, Who.KeyClaim.Key.value()});
  Next.PendingClaims.clear();
}

void Keeping::read() {
  if (!Next.Active || Next.ReadInProgress)
    return;
  Next.ReadInProgress = true;
  const bool Wait = Next.CaughtUp && !Next.CurrentBatch;
  Out.emplace_back(ReadStream{++Next.LastReadNumber, Next.NextOffset, Wait});
}

/// A node that is keeper again starts anew: it did not follow the stream.
void Keeping::operator()(const BecameKeeper &) {
  if (Next.Active)
    return;
  log(EventId::ClaimKeeperStarted, Next.Config.Writer.value());
  Next.Active = true;
  Next.CaughtUp = false;
  Next.ReadInProgress = false;
  Next.NextOffset = core::LogOffset(0);
  Next.Table = ClaimTable(Next.Config.MaxKeys);
  read();
}

void Keeping::operator()(const CeasedToBeKeeper &) {
  if (!Next.Active)
    return;
  log(EventId::ClaimKeeperStopped, Next.Config.Writer.value());
  refuseAll(ErrorCode::ClaimKeeperChanged);
  Next.Active = false;
  Next.CurrentBatch.reset();
}

/// @return whether the claim was replied to
bool Keeping::answer(const Pending &Who) {
  const auto Decided = Next.Table.findOwner(Who.KeyClaim);
  if (!Decided)
    return false;
  if (core::ok(*Decided))
    Out.emplace_back(ClaimReply{Who.RequestId, core::value(*Decided), {}});
  else
    refuse(Who, core::failure(*Decided));
  return true;
}

void Keeping::operator()(const ClaimRequested &What) {
  const Pending Who{What.RequestId, What.KeyClaim, What.Deadline};
  if (!Next.Active)
    return refuse(Who, {ErrorCode::ClaimKeeperChanged, ""});
  const auto Checked =
      checkKey(Who.KeyClaim.Key, Now.Wall, Next.Config.Retention);
  if (!core::ok(Checked))
    return refuse(Who, core::failure(Checked));
  if (Now.Mono >= Who.Deadline)
    return refuse(Who, {ErrorCode::ClaimUndecided, "deadline has passed"});
  if (Next.CaughtUp && answer(Who))
    return;
  if (Next.PendingClaims.size() >= Next.Config.MaxPendingClaims) {
    log(EventId::ClaimWaitingLimit);
    return refuse(Who, {ErrorCode::ClaimLimitReached, ""});
  }
  Next.PendingClaims.push_back(Who);
}

void Keeping::expire() {
  std::erase_if(Next.PendingClaims, [this](const Pending &Who) {
    if (Now.Mono < Who.Deadline)
      return false;
    refuse(Who, {ErrorCode::ClaimUndecided, Who.KeyClaim.Key.value()});
    return true;
  });
}

void Keeping::operator()(const BatchDue &) {
  if (!Next.Active)
    return;
  expire();
  Next.Table.eraseBefore(Now.Wall - Next.Config.Retention - MaxClockSkew);
  append();
  read();
}

void Keeping::append() {
  if (Next.CurrentBatch || !Next.CaughtUp)
    return;
  ClaimBatch Batch;
  for (Pending &Who : Next.PendingClaims) {
    if (Batch.Claims.size() >= Next.Config.MaxBatchClaims)
      break;
    Batch.Claims.push_back(Who.KeyClaim);
    Who.InBatch = true;
  }
  if (Batch.Claims.empty())
    return;
  const auto Millis =
      static_cast<std::uint64_t>(Now.Wall.time_since_epoch().count());
  Next.LastSequence = std::max(Next.LastSequence + 1, Millis);
  Batch.Writer = Next.Config.Writer;
  Batch.Sequence = Next.LastSequence;
  Out.emplace_back(AppendBatch{Batch});
  Next.CurrentBatch = KeeperState::OpenBatch{std::move(Batch)};
}

bool Keeping::isOpen(std::uint64_t Sequence) const {
  return Next.CurrentBatch && Next.CurrentBatch->Batch.Sequence == Sequence &&
         Next.CurrentBatch->CurrentStage == Stage::Sent;
}

void Keeping::operator()(const AppendAcknowledged &What) {
  if (!isOpen(What.Sequence))
    return;
  Next.CurrentBatch->CurrentStage = Stage::Acknowledged;
  read();
}

void Keeping::unbatch() {
  for (Pending &Who : Next.PendingClaims)
    Who.InBatch = false;
  Next.CurrentBatch.reset();
}

/// The append surely had no effect: its claims go into the next batch.
void Keeping::operator()(const AppendFailed &What) {
  if (isOpen(What.Sequence))
    unbatch();
}

/// A read that was in progress may have seen the stream before the append, so
/// only one that starts now can settle it.
void Keeping::operator()(const AppendUnknown &What) {
  if (!isOpen(What.Sequence))
    return;
  log(EventId::ClaimAppendUnsettled, Next.Config.Writer.value());
  Next.CurrentBatch->CurrentStage = Stage::Unconfirmed;
  Next.CurrentBatch->ConfirmingRead = Next.LastReadNumber + 1;
  read();
}

void Keeping::operator()(const ReadFailed &What) {
  if (What.ReadNumber == Next.LastReadNumber)
    Next.ReadInProgress = false;
}

/// Trimmed records were appended before the first one that is left, whose
/// sequence tells its time. When none is left, they may be as recent as now.
void Keeping::noteTrimmed(const RecordsRead &What) {
  if (What.FirstOffset <= Next.NextOffset)
    return;
  log(EventId::ClaimHistoryTrimmed, Next.Config.Writer.value());
  core::WallTime Oldest = Now.Wall;
  if (!What.Batches.empty())
    Oldest = core::WallTime(core::Milliseconds(
        static_cast<std::int64_t>(What.Batches.front().Batch.Sequence)));
  Next.Table.markIncompleteBefore(Oldest + MaxClockSkew);
}

void Keeping::applyBatch(const ClaimBatch &Batch) {
  if (Next.Table.apply(Batch))
    log(EventId::ClaimKeyLimit, Next.Config.Writer.value());
  const bool Own = Next.CurrentBatch &&
                   Next.CurrentBatch->Batch.Writer == Batch.Writer &&
                   Next.CurrentBatch->Batch.Sequence == Batch.Sequence;
  if (Own)
    unbatch();
}

void Keeping::operator()(const RecordsRead &What) {
  if (!Next.Active || What.ReadNumber != Next.LastReadNumber)
    return;
  Next.ReadInProgress = false;
  noteTrimmed(What);
  for (const StoredBatch &Stored : What.Batches)
    if (Stored.Offset >= Next.NextOffset)
      applyBatch(Stored.Batch);
  Next.NextOffset = std::max(Next.NextOffset, What.NextOffset);
  Next.CaughtUp = What.NextOffset >= What.EndOffset;
  if (Next.CaughtUp)
    answerKnown();
  settleOpen(What);
  read();
}

/// Claims whose key has a first record are decided; the others wait on.
void Keeping::answerKnown() {
  std::erase_if(Next.PendingClaims, [this](const Pending &Who) {
    // The open batch holds its claim: only its own record, or an earlier one
    // of the key, decides it, and both are read by now or later.
    return answer(Who);
  });
}

/// The same batch is appended again under its sequence, so that readers drop
/// it in case the first append takes effect later.
void Keeping::settleOpen(const RecordsRead &What) {
  if (!Next.CurrentBatch ||
      Next.CurrentBatch->CurrentStage != Stage::Unconfirmed)
    return;
  if (!Next.CaughtUp || What.ReadNumber < Next.CurrentBatch->ConfirmingRead)
    return;
  // An old sequence must not be appended: readers date the head of a trimmed
  // stream by it. The claims get a new batch.
  const auto Age = Now.Wall.time_since_epoch() -
                   core::Milliseconds(Next.CurrentBatch->Batch.Sequence);
  if (Age > OldestAppend)
    return unbatch();
  Next.CurrentBatch->CurrentStage = Stage::Sent;
  Out.emplace_back(AppendBatch{Next.CurrentBatch->Batch});
}

} // namespace

Step<KeeperState, KeeperEffects>
reduce(KeeperState Before, const KeeperEvent &What, core::Instant Now) {
  KeeperEffects Out;
  Keeping Run(Before, Out, Now);
  std::visit(Run, What);
  return {std::move(Before), std::move(Out)};
}

} // namespace filbertvane::decision::request::claims
