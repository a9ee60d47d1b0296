#include "Reducer.h"
#include "filbertvane/decision/membership/Ranking.h"
#include <algorithm>

namespace filbertvane::decision::distribution {

bool Reducer::hasRecordsFrom(core::LogOffset First) const {
  if (First >= S.ConfigPosition.NextOffset)
    return First == S.ConfigPosition.NextOffset;
  return !S.RecentRecords.empty() &&
         S.RecentRecords.front().Record.Offset <= First;
}

/// Returns the cached records from an offset on, as many as fit into one frame.
RecordBatch Reducer::batchFrom(core::LogOffset First) const {
  RecordBatch Batch{First, {}, S.ConfigPosition};
  if (First >= S.ConfigPosition.NextOffset)
    return Batch;
  const std::uint64_t Skip =
      First.value() - S.RecentRecords.front().Record.Offset.value();
  std::size_t Bytes = 0;
  for (std::size_t I = Skip; I < S.RecentRecords.size(); ++I) {
    const RecentRecord &Recent = S.RecentRecords[I];
    Bytes += Recent.Record.Bytes.size();
    if (Bytes > MaxBatchBytes && !Batch.Records.empty())
      break;
    Batch.Records.push_back(Recent.Record);
    Batch.PositionAfter = Recent.PositionAfter;
  }
  Batch.PositionAfter.Ready = S.Ready;
  return Batch;
}

void Reducer::forward(core::LogOffset First) {
  for (const std::string &To : downstreamAddresses())
    sendRecordsFrom(To, First);
  S.NextHeartbeat = Now.Mono + HeartbeatPeriod;
}

/// Sends all records from an offset on. If they are no longer cached, sends
/// only the position, so that the receiver requests a snapshot.
void Reducer::sendRecordsFrom(const std::string &To, core::LogOffset First) {
  if (!hasRecordsFrom(First))
    First = S.ConfigPosition.NextOffset;
  do {
    RecordBatch Batch = batchFrom(First);
    First = Batch.PositionAfter.NextOffset;
    Out.push_back(SendRecords{To, std::move(Batch)});
  } while (First < S.ConfigPosition.NextOffset);
}

/// Returns the children in the tree; for the region reader, also the leads of
/// its region.
std::vector<std::string> Reducer::downstreamAddresses() const {
  std::vector<std::string> Addresses;
  std::size_t Rank = 0;
  while (Rank < S.RankedMembers.size() &&
         S.RankedMembers[Rank].Contact.Node != S.Local.Self.Node)
    ++Rank;
  if (Rank < S.RankedMembers.size())
    addChildren(Rank, Addresses);
  // The standby of a silent lead also sends to the children of the lead.
  if (Rank == 1 && actsAsLead(S, Now.Mono))
    addChildren(0, Addresses);
  if (isRegionReader(S))
    for (const RemoteLead &Lead : S.RemoteLeads)
      if (Lead.Region == S.Local.Region)
        Addresses.push_back(Lead.Contact.Address);
  std::erase(Addresses, S.Local.Self.Address);
  return Addresses;
}

void Reducer::addChildren(std::size_t Rank,
                          std::vector<std::string> &Addresses) const {
  for (const std::size_t Child :
       membership::childRanks(Rank, S.RankedMembers.size())) {
    Addresses.push_back(S.RankedMembers[Child].Contact.Address);
    if (S.RankedMembers[Child].Suspect)
      addChildren(Child, Addresses);
  }
}

void Reducer::on(const RecordsRequested &E) {
  if (E.Request.WantsLogEnd)
    addLogEndWaiter(E.From.Address);
  if (E.Request.FirstOffset > S.ConfigPosition.NextOffset)
    updateAheadPeer(E.From, E.Request.FirstOffset, false);
  if (E.Request.WantsSnapshot || !hasRecordsFrom(E.Request.FirstOffset)) {
    if (E.Request.FirstOffset <= S.ConfigPosition.NextOffset) {
      serveSnapshot(E.From);
      return;
    }
  }
  const core::LogOffset First =
      std::min(E.Request.FirstOffset, S.ConfigPosition.NextOffset);
  Out.push_back(SendRecords{E.From.Address, batchFrom(First)});
}

void Reducer::serveSnapshot(const Peer &To) {
  if (S.TransferEnds.size() >= MaxSnapshotTransfers) {
    log(observe::EventId::DistributionTransferLimitReached, To.Node.value());
    return;
  }
  S.TransferEnds.push_back(Now.Mono + SnapshotTransferTime);
  Out.push_back(SendSnapshot{
      To.Address, {S.ConfigPosition, S.Local.Folding.Encode(*S.Fleet)}});
}

/// Sends heartbeats from the lead to its standby and from the region reader to
/// the leads of its region. A region reader that cannot read the log sends none
/// to the leads, so that they try to read the log themselves.
void Reducer::tickHeartbeat() {
  if (Now.Mono < S.NextHeartbeat || !isLead(S))
    return;
  S.NextHeartbeat = Now.Mono + HeartbeatPeriod;
  const RecordBatch Heartbeat = batchFrom(S.ConfigPosition.NextOffset);
  if (S.RankedMembers.size() > 1)
    Out.push_back(SendRecords{S.RankedMembers[1].Contact.Address, Heartbeat});
  if (!isRegionReader(S) || !S.LogReader.LogAvailable)
    return;
  for (const RemoteLead &Lead : S.RemoteLeads)
    if (Lead.Region == S.Local.Region && Lead.Contact.Node != S.Local.Self.Node)
      Out.push_back(SendRecords{Lead.Contact.Address, Heartbeat});
}

} // namespace filbertvane::decision::distribution
