#include "Reducer.h"
#include <fmt/format.h>

namespace filbertvane::decision::distribution {

bool Reducer::wantsLog() const {
  if (isRegionReader(S))
    return true;
  if (isLead(S))
    return Now.Mono - S.ReaderHeardAt > ReaderSilence;
  return actsAsLead(S, Now.Mono);
}

void Reducer::tickLog() {
  const bool Wanted = wantsLog();
  if (Wanted != S.Log.Wanted) {
    S.Log.Wanted = Wanted;
    log(Wanted ? observe::EventId::DistributionReadsLog
               : observe::EventId::DistributionStopsLog,
        fmt::format("offset {}", S.At.Next.value()));
  }
  readLog();
}

void Reducer::readLog() {
  if (!S.Log.Wanted || S.Log.Pending || Now.Mono < S.Log.RetryAt)
    return;
  // Records or a snapshot may have come from a peer since the last read.
  if (S.At.Next >= S.Log.From)
    S.Log.Searching = false;
  if (!S.Log.Searching)
    S.Log.From = S.At.Next;
  S.Log.Pending = true;
  const bool LongPoll = S.Log.ReachedEnd && !S.Log.Searching;
  Out.push_back(ReadLog{S.Log.From, LongPoll});
}

void Reducer::on(const LogRead &What) {
  S.Log.Pending = false;
  S.Log.Failures = 0;
  if (!S.Log.Available)
    log(observe::EventId::DistributionLogAvailable, "");
  S.Log.Available = true;
  if (S.Log.Searching)
    searchSnapshot(What.Records);
  else
    applyRead(What.Records);
  if (!S.Log.Searching && S.At.Next >= What.End)
    S.Log.ReachedEnd = true;
  else if (What.Records.empty())
    logFailed();
  readLog();
}

void Reducer::applyRead(const std::vector<StoredRecord> &Records) {
  std::optional<Candidate> New = fold(Records);
  if (New) {
    adopt(std::move(*New));
    drainBuffer();
    return;
  }
  log(observe::EventId::DistributionLogTrimmed,
      fmt::format("own offset {} read offset {}", S.At.Next.value(),
                  Records.front().Offset.value()));
  S.Log.Searching = true;
  S.Log.From = Records.front().Offset;
}

void Reducer::on(const LogTrimmed &What) {
  S.Log.Pending = false;
  log(observe::EventId::DistributionLogTrimmed,
      fmt::format("own offset {} head {}", S.At.Next.value(),
                  What.Head.value()));
  S.Log.Searching = What.Head > S.At.Next;
  S.Log.From = What.Head;
  logFailed();
  askOtherLead();
}

/// Looks through the records behind the head for a snapshot, then reads on
/// from the offset at which that snapshot was taken.
void Reducer::searchSnapshot(const std::vector<StoredRecord> &Records) {
  if (Records.empty()) {
    // No snapshot yet: the coordinator appends one before the head moves on.
    S.Log.From = S.At.Next;
    return;
  }
  for (const StoredRecord &One : Records) {
    S.Log.From = core::LogOffset(One.Offset.value() + 1);
    const FoldedRecord Folded = S.Own.Folding.Apply({}, One.Offset, One.Bytes);
    if (!Folded.Record)
      continue;
    const auto *Taken =
        std::get_if<config::SnapshotTaken>(&Folded.Record->Body);
    if (!Taken)
      continue;
    const core::Result<config::FleetState> Decoded =
        S.Own.Folding.Decode(Taken->State);
    if (!core::ok(Decoded))
      continue;
    const Position At{core::value(Decoded).NextOffset, Taken->StateDigest,
                      core::value(Decoded).Version, false};
    if (!adoptSnapshot({core::NodeId("log"), ""}, {At, Taken->State}))
      continue;
    S.Log.Searching = false;
    return;
  }
}

void Reducer::on(const LogUnavailable &) {
  S.Log.Pending = false;
  if (S.Log.Available)
    log(observe::EventId::DistributionLogUnavailable,
        fmt::format("offset {}", S.At.Next.value()));
  S.Log.Available = false;
  logFailed();
  if (S.Log.Wanted)
    askOtherLead();
}

void Reducer::logFailed() {
  S.Log.RetryAt = Now.Mono + backoff(S.Log.Failures, LogBackoffMax);
  ++S.Log.Failures;
}

} // namespace filbertvane::decision::distribution
