#include "Reducer.h"
#include <fmt/format.h>

namespace filbertvane::decision::distribution {

namespace {

std::size_t bytesOf(const RecordBatch &Batch) {
  std::size_t Bytes = 0;
  for (const StoredRecord &One : Batch.Records)
    Bytes += One.Bytes.size();
  return Bytes;
}

} // namespace

/// Folds the records that are new; none when they do not follow the own state
/// without a gap. Nothing is adopted here: a batch holds whole or not at all.
std::optional<Reducer::Candidate>
Reducer::fold(const std::vector<StoredRecord> &Records) {
  Candidate New{*S.Held, S.At, {}, {}};
  for (const StoredRecord &One : Records) {
    if (One.Offset < New.At.Next)
      continue;
    if (One.Offset > New.At.Next)
      return std::nullopt;
    std::optional<config::FleetState> Before;
    if (One.Bytes.size() > ReduceAbove)
      Before = New.State;
    FoldedRecord Folded =
        S.Own.Folding.Apply(std::move(New.State), One.Offset, One.Bytes);
    New.State = std::move(Folded.State);
    New.At = {New.State.NextOffset, S.Own.Folding.DigestOf(New.State),
              New.State.Version, S.Ready};
    New.Kept.push_back(keepable(std::move(Before), One, New.At));
    if (!Folded.Record)
      log(observe::EventId::DistributionRecordMalformed,
          fmt::format("offset {}", One.Offset.value()));
    New.Applied.push_back(
        {One.Offset, std::move(Folded.Record), std::move(Folded.Outcome)});
  }
  return New;
}

/// A snapshot record is as large as the whole configuration and readers of the
/// tree do not need its content. The digest proves that the reduced form has
/// the same effect.
KeptRecord Reducer::keepable(std::optional<config::FleetState> Before,
                             const StoredRecord &Record,
                             const Position &After) {
  if (!Before)
    return {Record, After};
  std::optional<std::string> Reduced = S.Own.Folding.Reduced(Record.Bytes);
  if (!Reduced)
    return {Record, After};
  const FoldedRecord Check =
      S.Own.Folding.Apply(*std::move(Before), Record.Offset, *Reduced);
  if (S.Own.Folding.DigestOf(Check.State) != After.StateDigest)
    return {Record, After};
  return {{Record.Offset, std::move(*Reduced)}, After};
}

bool Reducer::mayAdopt(const Position &To, bool Repairs) {
  const bool Further = Repairs ? To.Next >= S.At.Next : To.Next > S.At.Next;
  if (Further && To.Version >= S.At.Version)
    return true;
  log(observe::EventId::DistributionLowerRefused,
      fmt::format("offset {} version {}, own offset {} version {}",
                  To.Next.value(), To.Version.value(), S.At.Next.value(),
                  S.At.Version.value()));
  return false;
}

void Reducer::adopt(Candidate New) {
  if (New.Applied.empty() || !mayAdopt(New.At, false))
    return;
  const core::LogOffset First = S.At.Next;
  S.At = New.At;
  S.Held = std::make_shared<const config::FleetState>(std::move(New.State));
  for (KeptRecord &One : New.Kept)
    keep(std::move(One));
  progressed();
  Out.push_back(StateAdopted{S.Held, S.At, std::move(New.Applied)});
  forward(First);
}

void Reducer::keep(KeptRecord One) {
  S.RecentBytes += One.Record.Bytes.size();
  S.Recent.push_back(std::move(One));
  while (S.Recent.size() > MaxRecent || S.RecentBytes > MaxRecentBytes) {
    S.RecentBytes -= S.Recent.front().Record.Bytes.size();
    S.Recent.pop_front();
  }
}

bool Reducer::adoptSnapshot(const Peer &From, const Snapshot &What) {
  const core::Result<config::FleetState> Decoded =
      S.Own.Folding.Decode(What.State);
  if (!core::ok(Decoded)) {
    log(observe::EventId::DistributionSnapshotInvalid,
        core::toString(core::failure(Decoded)));
    return false;
  }
  const config::FleetState &New = core::value(Decoded);
  const Position To{New.NextOffset, S.Own.Folding.DigestOf(New), New.Version,
                    S.Ready};
  if (To.StateDigest != What.At.StateDigest || To.Next != What.At.Next) {
    log(observe::EventId::DistributionSnapshotInvalid,
        fmt::format("from {}: digest or offset differs", From.Node.value()));
    return false;
  }
  const bool Repairs = S.Fix.Diverged && S.Fix.Diverged->Node == From.Node;
  if (!mayAdopt(To, Repairs))
    return false;
  S.At = To;
  S.Held = std::make_shared<const config::FleetState>(New);
  // The records before the snapshot may belong to a diverged state.
  S.Recent.clear();
  S.RecentBytes = 0;
  S.Fix.Diverged.reset();
  progressed();
  log(observe::EventId::DistributionSnapshotAdopted,
      fmt::format("from {} offset {} version {}", From.Node.value(),
                  To.Next.value(), To.Version.value()));
  Out.push_back(StateAdopted{S.Held, S.At, {}});
  forward(S.At.Next);
  return true;
}

void Reducer::on(const RecordsReceived &What) {
  noteHeard(What.From);
  noteReport(What.From, What.Batch.After);
  noteEnd(What.From, What.Batch);
  answered(What.From);
  receiveBatch(What.From, What.Batch);
  drainBuffer();
}

void Reducer::on(const SnapshotReceived &What) {
  noteReport(What.From, What.What.At);
  answered(What.From);
  adoptSnapshot(What.From, What.What);
  drainBuffer();
}

void Reducer::receiveBatch(const Peer &From, const RecordBatch &Batch) {
  const Position &After = Batch.After;
  if (After.Next < S.At.Next)
    return;
  if (After.Next == S.At.Next) {
    if (After.StateDigest != S.At.StateDigest)
      diverged(From);
    return;
  }
  if (Batch.Records.empty() || Batch.Records.front().Offset > S.At.Next) {
    buffer(From, Batch);
    noteAhead(From, After.Next, true);
    return;
  }
  std::optional<Candidate> New = fold(Batch.Records);
  if (!New || New->At.Next != After.Next) {
    log(observe::EventId::DistributionGap,
        fmt::format("batch of {} is not consecutive", From.Node.value()));
    noteAhead(From, After.Next, false);
    return;
  }
  if (New->At.StateDigest != After.StateDigest) {
    diverged(From);
    return;
  }
  adopt(std::move(*New));
}

void Reducer::buffer(const Peer &From, const RecordBatch &Batch) {
  if (Batch.Records.empty())
    return;
  log(observe::EventId::DistributionGap,
      fmt::format("offsets {} to {}", S.At.Next.value(),
                  Batch.Records.front().Offset.value() - 1));
  const std::size_t Bytes = bytesOf(Batch);
  if (S.Buffered.size() >= MaxBuffered ||
      S.BufferedBytes + Bytes > MaxBufferedBytes) {
    log(observe::EventId::DistributionBufferFull, From.Node.value());
    return;
  }
  const core::LogOffset First = Batch.Records.front().Offset;
  if (S.Buffered.emplace(First, std::pair(From, Batch)).second)
    S.BufferedBytes += Bytes;
}

void Reducer::drainBuffer() {
  while (!S.Buffered.empty() && S.Buffered.begin()->first <= S.At.Next) {
    const auto [From, Batch] = std::move(S.Buffered.begin()->second);
    S.Buffered.erase(S.Buffered.begin());
    S.BufferedBytes -= bytesOf(Batch);
    receiveBatch(From, Batch);
  }
}

/// Only a state nearer to the log corrects another one; otherwise two nodes
/// could exchange their states for ever.
void Reducer::diverged(const Peer &From) {
  if (S.Log.Wanted)
    return;
  const auto Rank = [this](const core::NodeId &Node) {
    std::size_t At = 0;
    while (At < S.Order.size() && S.Order[At].At.Node != Node)
      ++At;
    return At;
  };
  const bool Known = Rank(From.Node) < S.Order.size();
  if (Known && Rank(From.Node) > Rank(S.Own.Own.Node))
    return;
  if (!S.Fix.Diverged)
    log(observe::EventId::DistributionDigestMismatch,
        fmt::format("peer {} own offset {}", From.Node.value(),
                    S.At.Next.value()));
  S.Fix.Diverged = From;
}

} // namespace filbertvane::decision::distribution
