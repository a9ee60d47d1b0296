#include "Reducer.h"
#include <fmt/format.h>

namespace filbertvane::decision::distribution {

namespace {

std::size_t bytesOf(const RecordBatch &Batch) {
  std::size_t Bytes = 0;
  for (const StoredRecord &Record : Batch.Records)
    Bytes += Record.Bytes.size();
  return Bytes;
}

} // namespace

/// Folds the records that are not yet applied; none if they leave a gap. The
/// caller adopts the result, so that a batch is applied completely or not at
/// all.
std::optional<Reducer::Candidate>
Reducer::fold(const std::vector<StoredRecord> &Records) {
  Candidate New{*S.Fleet, S.ConfigPosition, {}, {}};
  for (const StoredRecord &Record : Records) {
    if (Record.Offset < New.ConfigPosition.NextOffset)
      continue;
    if (Record.Offset > New.ConfigPosition.NextOffset)
      return std::nullopt;
    std::optional<config::FleetState> Before;
    if (Record.Bytes.size() > ReductionThresholdBytes)
      Before = New.State;
    FoldedRecord Folded = S.Local.Folding.Apply(std::move(New.State),
                                                Record.Offset, Record.Bytes);
    New.State = std::move(Folded.State);
    New.ConfigPosition = {New.State.NextOffset,
                          S.Local.Folding.DigestOf(New.State),
                          New.State.Version, S.Ready};
    New.RecentRecords.push_back(
        toRecentRecord(std::move(Before), Record, New.ConfigPosition));
    if (!Folded.Record)
      log(observe::EventId::DistributionRecordMalformed,
          fmt::format("offset {}", Record.Offset.value()));
    New.Applied.push_back(
        {Record.Offset, std::move(Folded.Record), std::move(Folded.Outcome)});
  }
  return New;
}

/// Replaces a large record by its reduced form. A snapshot record is as large
/// as the whole configuration, and receivers do not need its content. Equal
/// digests prove that the reduced form has the same effect.
RecentRecord Reducer::toRecentRecord(std::optional<config::FleetState> Before,
                                     const StoredRecord &Record,
                                     const Position &After) {
  if (!Before)
    return {Record, After};
  std::optional<std::string> Reduced = S.Local.Folding.Reduced(Record.Bytes);
  if (!Reduced)
    return {Record, After};
  const FoldedRecord Check =
      S.Local.Folding.Apply(*std::move(Before), Record.Offset, *Reduced);
  if (S.Local.Folding.DigestOf(Check.State) != After.StateDigest)
    return {Record, After};
  return {{Record.Offset, std::move(*Reduced)}, After};
}

bool Reducer::mayAdopt(const Position &To, bool Repairs) {
  const bool NotReached = Repairs ? To.NextOffset >= S.ConfigPosition.NextOffset
                                  : To.NextOffset > S.ConfigPosition.NextOffset;
  if (NotReached && To.Version >= S.ConfigPosition.Version)
    return true;
  log(observe::EventId::DistributionOlderStateRefused,
      fmt::format("offset {} version {}, local offset {} version {}",
                  To.NextOffset.value(), To.Version.value(),
                  S.ConfigPosition.NextOffset.value(),
                  S.ConfigPosition.Version.value()));
  return false;
}

void Reducer::adopt(Candidate New) {
  if (New.Applied.empty() || !mayAdopt(New.ConfigPosition, false))
    return;
  const core::LogOffset First = S.ConfigPosition.NextOffset;
  S.ConfigPosition = New.ConfigPosition;
  S.Fleet = std::make_shared<const config::FleetState>(std::move(New.State));
  for (RecentRecord &Recent : New.RecentRecords)
    addRecent(std::move(Recent));
  resetRetries();
  Out.push_back(
      StateAdopted{S.Fleet, S.ConfigPosition, std::move(New.Applied)});
  forward(First);
}

void Reducer::addRecent(RecentRecord Recent) {
  S.RecentBytes += Recent.Record.Bytes.size();
  S.RecentRecords.push_back(std::move(Recent));
  while (S.RecentRecords.size() > MaxRecentRecords ||
         S.RecentBytes > MaxRecentBytes) {
    S.RecentBytes -= S.RecentRecords.front().Record.Bytes.size();
    S.RecentRecords.pop_front();
  }
}

bool Reducer::adoptSnapshot(const Peer &From, const Snapshot &Received) {
  const core::Result<config::FleetState> Decoded =
      S.Local.Folding.Decode(Received.State);
  if (!core::ok(Decoded)) {
    log(observe::EventId::DistributionSnapshotInvalid,
        core::toString(core::failure(Decoded)));
    return false;
  }
  const config::FleetState &New = core::value(Decoded);
  const Position To{New.NextOffset, S.Local.Folding.DigestOf(New), New.Version,
                    S.Ready};
  if (To.StateDigest != Received.ConfigPosition.StateDigest ||
      To.NextOffset != Received.ConfigPosition.NextOffset) {
    log(observe::EventId::DistributionSnapshotInvalid,
        fmt::format(
            "from {}: state does not match the announced digest or offset",
            From.Node.value()));
    return false;
  }
  const bool Repairs =
      S.Repair.DivergedFrom && S.Repair.DivergedFrom->Node == From.Node;
  if (!mayAdopt(To, Repairs))
    return false;
  S.ConfigPosition = To;
  S.Fleet = std::make_shared<const config::FleetState>(New);
  // Earlier records may belong to a diverged state.
  S.RecentRecords.clear();
  S.RecentBytes = 0;
  S.Repair.DivergedFrom.reset();
  resetRetries();
  log(observe::EventId::DistributionSnapshotAdopted,
      fmt::format("from {} offset {} version {}", From.Node.value(),
                  To.NextOffset.value(), To.Version.value()));
  Out.push_back(StateAdopted{S.Fleet, S.ConfigPosition, {}});
  forward(S.ConfigPosition.NextOffset);
  return true;
}

void Reducer::on(const RecordsReceived &E) {
  updateLastHeard(E.From);
  updateReport(E.From, E.Batch.PositionAfter);
  updateLogEnd(E.From, E.Batch);
  completeRequest(E.From);
  receiveBatch(E.From, E.Batch);
  drainBuffer();
}

void Reducer::on(const SnapshotReceived &E) {
  updateReport(E.From, E.Payload.ConfigPosition);
  completeRequest(E.From);
  adoptSnapshot(E.From, E.Payload);
  drainBuffer();
}

void Reducer::receiveBatch(const Peer &From, const RecordBatch &Batch) {
  const Position &After = Batch.PositionAfter;
  if (After.NextOffset < S.ConfigPosition.NextOffset)
    return;
  if (After.NextOffset == S.ConfigPosition.NextOffset) {
    if (After.StateDigest != S.ConfigPosition.StateDigest)
      markDiverged(From);
    return;
  }
  if (Batch.Records.empty() ||
      Batch.Records.front().Offset > S.ConfigPosition.NextOffset) {
    bufferBatch(From, Batch);
    updateAheadPeer(From, After.NextOffset, true);
    return;
  }
  std::optional<Candidate> New = fold(Batch.Records);
  if (!New || New->ConfigPosition.NextOffset != After.NextOffset) {
    log(observe::EventId::DistributionGap,
        fmt::format(
            "batch from {} has a gap or does not reach its announced offset",
            From.Node.value()));
    updateAheadPeer(From, After.NextOffset, false);
    return;
  }
  if (New->ConfigPosition.StateDigest != After.StateDigest) {
    markDiverged(From);
    return;
  }
  adopt(std::move(*New));
}

void Reducer::bufferBatch(const Peer &From, const RecordBatch &Batch) {
  if (Batch.Records.empty())
    return;
  log(observe::EventId::DistributionGap,
      fmt::format("offsets {} to {}", S.ConfigPosition.NextOffset.value(),
                  Batch.Records.front().Offset.value() - 1));
  const std::size_t Bytes = bytesOf(Batch);
  if (S.BufferedBatches.size() >= MaxBufferedBatches ||
      S.BufferedBytes + Bytes > MaxBufferedBytes) {
    log(observe::EventId::DistributionBufferLimitReached, From.Node.value());
    return;
  }
  const core::LogOffset First = Batch.Records.front().Offset;
  if (S.BufferedBatches.emplace(First, std::pair(From, Batch)).second)
    S.BufferedBytes += Bytes;
}

void Reducer::drainBuffer() {
  while (!S.BufferedBatches.empty() &&
         S.BufferedBatches.begin()->first <= S.ConfigPosition.NextOffset) {
    const auto [From, Batch] = std::move(S.BufferedBatches.begin()->second);
    S.BufferedBatches.erase(S.BufferedBatches.begin());
    S.BufferedBytes -= bytesOf(Batch);
    receiveBatch(From, Batch);
  }
}

/// Accepts a correction only from a node closer to the log; otherwise two nodes
/// could exchange their states forever.
void Reducer::markDiverged(const Peer &From) {
  if (S.LogReader.Active)
    return;
  const auto Rank = [this](const core::NodeId &Node) {
    std::size_t At = 0;
    while (At < S.RankedMembers.size() &&
           S.RankedMembers[At].Contact.Node != Node)
      ++At;
    return At;
  };
  const bool IsMember = Rank(From.Node) < S.RankedMembers.size();
  if (IsMember && Rank(From.Node) > Rank(S.Local.Self.Node))
    return;
  if (!S.Repair.DivergedFrom)
    log(observe::EventId::DistributionDigestMismatch,
        fmt::format("peer {} local offset {}", From.Node.value(),
                    S.ConfigPosition.NextOffset.value()));
  S.Repair.DivergedFrom = From;
}

} // namespace filbertvane::decision::distribution
