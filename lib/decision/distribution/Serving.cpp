#include "Reducer.h"
#include "filbertvane/decision/membership/Ranking.h"
#include <algorithm>

namespace filbertvane::decision::distribution {

bool Reducer::holdsFrom(core::LogOffset First) const {
  if (First >= S.At.Next)
    return First == S.At.Next;
  return !S.Recent.empty() && S.Recent.front().Record.Offset <= First;
}

/// Kept records from an offset on, as many as fit into one frame.
RecordBatch Reducer::batchFrom(core::LogOffset First) const {
  RecordBatch Batch{First, {}, S.At};
  if (First >= S.At.Next)
    return Batch;
  const std::uint64_t Skip =
      First.value() - S.Recent.front().Record.Offset.value();
  std::size_t Bytes = 0;
  for (std::size_t I = Skip; I < S.Recent.size(); ++I) {
    const KeptRecord &One = S.Recent[I];
    Bytes += One.Record.Bytes.size();
    if (Bytes > MaxBatchBytes && !Batch.Records.empty())
      break;
    Batch.Records.push_back(One.Record);
    Batch.After = One.After;
  }
  Batch.After.Ready = S.Ready;
  return Batch;
}

void Reducer::forward(core::LogOffset First) {
  for (const std::string &To : fedAddresses())
    feed(To, First);
  S.NextHeartbeat = Now.Mono + HeartbeatPeriod;
}

/// Sends all records from an offset on; the position alone when they are no
/// longer kept, so that the receiver asks for a snapshot.
void Reducer::feed(const std::string &To, core::LogOffset First) {
  if (!holdsFrom(First))
    First = S.At.Next;
  do {
    RecordBatch Batch = batchFrom(First);
    First = Batch.After.Next;
    Out.push_back(SendRecords{To, std::move(Batch)});
  } while (First < S.At.Next);
}

/// Children in the tree, and for the region reader the leads of its region.
std::vector<std::string> Reducer::fedAddresses() const {
  std::vector<std::string> To;
  std::size_t Rank = 0;
  while (Rank < S.Order.size() && S.Order[Rank].At.Node != S.Own.Own.Node)
    ++Rank;
  if (Rank < S.Order.size())
    addChildren(Rank, To);
  // The standby of a silent lead feeds the lead's children as well.
  if (Rank == 1 && actsAsLead(S, Now.Mono))
    addChildren(0, To);
  if (isRegionReader(S))
    for (const OtherLead &Lead : S.Leads)
      if (Lead.Region == S.Own.Region)
        To.push_back(Lead.At.Address);
  std::erase(To, S.Own.Own.Address);
  return To;
}

void Reducer::addChildren(std::size_t Rank,
                          std::vector<std::string> &To) const {
  for (const std::size_t Child : membership::childRanks(Rank, S.Order.size())) {
    To.push_back(S.Order[Child].At.Address);
    if (S.Order[Child].Suspect)
      addChildren(Child, To);
  }
}

void Reducer::on(const RecordsRequested &What) {
  if (What.What.WantsEnd)
    addEndWaiter(What.From.Address);
  if (What.What.First > S.At.Next)
    noteAhead(What.From, What.What.First, false);
  if (What.What.WantsSnapshot || !holdsFrom(What.What.First)) {
    if (What.What.First <= S.At.Next) {
      serveSnapshot(What.From);
      return;
    }
  }
  const core::LogOffset First = std::min(What.What.First, S.At.Next);
  Out.push_back(SendRecords{What.From.Address, batchFrom(First)});
}

void Reducer::serveSnapshot(const Peer &To) {
  if (S.Transfers.size() >= MaxTransfers) {
    log(observe::EventId::DistributionTransfersFull, To.Node.value());
    return;
  }
  S.Transfers.push_back(Now.Mono + TransferTime);
  Out.push_back(
      SendSnapshot{To.Address, {S.At, S.Own.Folding.Encode(*S.Held)}});
}

/// The lead tells its standby, and the region reader the leads of its region,
/// that it is there. A reader without the log stays silent, so that the other
/// leads try the log themselves.
void Reducer::tickHeartbeat() {
  if (Now.Mono < S.NextHeartbeat || !isLead(S))
    return;
  S.NextHeartbeat = Now.Mono + HeartbeatPeriod;
  const RecordBatch Beat = batchFrom(S.At.Next);
  if (S.Order.size() > 1)
    Out.push_back(SendRecords{S.Order[1].At.Address, Beat});
  if (!isRegionReader(S) || !S.Log.Available)
    return;
  for (const OtherLead &Lead : S.Leads)
    if (Lead.Region == S.Own.Region && Lead.At.Node != S.Own.Own.Node)
      Out.push_back(SendRecords{Lead.At.Address, Beat});
}

} // namespace filbertvane::decision::distribution
