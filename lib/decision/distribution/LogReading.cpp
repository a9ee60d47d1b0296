#include "Reducer.h"
#include <fmt/format.h>

namespace filbertvane::decision::distribution {

bool Reducer::shouldReadLog() const {
  if (isRegionReader(S))
    return true;
  if (isLead(S))
    return Now.Mono - S.ReaderHeardAt > ReaderTimeout;
  return actsAsLead(S, Now.Mono);
}

void Reducer::tickLog() {
  const bool Wanted = shouldReadLog();
  if (Wanted != S.LogReader.Active) {
    S.LogReader.Active = Wanted;
    log(Wanted ? observe::EventId::DistributionLogReadingStarted
               : observe::EventId::DistributionLogReadingStopped,
        fmt::format("offset {}", S.ConfigPosition.NextOffset.value()));
  }
  readLog();
}

void Reducer::readLog() {
  if (!S.LogReader.Active || S.LogReader.ReadPending ||
      Now.Mono < S.LogReader.RetryAt)
    return;
  // A peer may have sent records or a snapshot since the last read.
  if (S.ConfigPosition.NextOffset >= S.LogReader.ReadOffset)
    S.LogReader.SearchingSnapshot = false;
  if (!S.LogReader.SearchingSnapshot)
    S.LogReader.ReadOffset = S.ConfigPosition.NextOffset;
  S.LogReader.ReadPending = true;
  const bool LongPoll =
      S.LogReader.ReachedEnd && !S.LogReader.SearchingSnapshot;
  Out.push_back(ReadLog{S.LogReader.ReadOffset, LongPoll});
}

void Reducer::on(const LogRead &E) {
  S.LogReader.ReadPending = false;
  S.LogReader.Failures = 0;
  if (!S.LogReader.LogAvailable)
    log(observe::EventId::DistributionLogAvailable, "");
  S.LogReader.LogAvailable = true;
  if (S.LogReader.SearchingSnapshot)
    searchSnapshot(E.Records);
  else
    applyRead(E.Records);
  if (!S.LogReader.SearchingSnapshot &&
      S.ConfigPosition.NextOffset >= E.EndOffset)
    S.LogReader.ReachedEnd = true;
  else if (E.Records.empty())
    scheduleLogRetry();
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
      fmt::format("local offset {} read offset {}",
                  S.ConfigPosition.NextOffset.value(),
                  Records.front().Offset.value()));
  S.LogReader.SearchingSnapshot = true;
  S.LogReader.ReadOffset = Records.front().Offset;
}

void Reducer::on(const LogTrimmed &E) {
  S.LogReader.ReadPending = false;
  log(observe::EventId::DistributionLogTrimmed,
      fmt::format("local offset {} head offset {}",
                  S.ConfigPosition.NextOffset.value(), E.HeadOffset.value()));
  S.LogReader.SearchingSnapshot = E.HeadOffset > S.ConfigPosition.NextOffset;
  S.LogReader.ReadOffset = E.HeadOffset;
  scheduleLogRetry();
  requestFromRemoteLead();
}

/// Searches the records after the head for a snapshot; reading continues at the
/// offset at which the snapshot was taken.
void Reducer::searchSnapshot(const std::vector<StoredRecord> &Records) {
  if (Records.empty()) {
    // The coordinator appends a snapshot before the log is trimmed further.
    S.LogReader.ReadOffset = S.ConfigPosition.NextOffset;
    return;
  }
  for (const StoredRecord &Record : Records) {
    S.LogReader.ReadOffset = core::LogOffset(Record.Offset.value() + 1);
    const FoldedRecord Folded =
        S.Local.Folding.Apply({}, Record.Offset, Record.Bytes);
    if (!Folded.Record)
      continue;
    const auto *Taken =
        std::get_if<config::SnapshotTaken>(&Folded.Record->Body);
    if (!Taken)
      continue;
    const core::Result<config::FleetState> Decoded =
        S.Local.Folding.Decode(Taken->State);
    if (!core::ok(Decoded))
      continue;
    const Position At{core::value(Decoded).NextOffset, Taken->StateDigest,
                      core::value(Decoded).Version, false};
    if (!adoptSnapshot({core::NodeId("log"), ""}, {At, Taken->State}))
      continue;
    S.LogReader.SearchingSnapshot = false;
    return;
  }
}

void Reducer::on(const LogUnavailable &) {
  S.LogReader.ReadPending = false;
  if (S.LogReader.LogAvailable)
    log(observe::EventId::DistributionLogUnavailable,
        fmt::format("offset {}", S.ConfigPosition.NextOffset.value()));
  S.LogReader.LogAvailable = false;
  scheduleLogRetry();
  if (S.LogReader.Active)
    requestFromRemoteLead();
}

void Reducer::scheduleLogRetry() {
  S.LogReader.RetryAt = Now.Mono + backoff(S.LogReader.Failures, MaxLogBackoff);
  ++S.LogReader.Failures;
}

} // namespace filbertvane::decision::distribution
