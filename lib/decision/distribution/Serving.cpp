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

/// Kept records from an offset on, as many as fit into one frame.
RecordBatch Reducer::batchFrom(core::LogOffset First) const {
  RecordBatch Batch{First, {}, S.ConfigPosition};
  if (First >= S.ConfigPosition.NextOffset)
    return Batch;
  const std::uint64_t Skip =
      First.value() - S.RecentRecords.front().Record.Offset.value();
  std::size_t Bytes = 0;
  for (std::size_t I = Skip; I < S.RecentRecords.size(); ++I) {
    const RecentRecord &One = S.RecentRecords[I];
    Bytes += One.Record.Bytes.size();
    if (Bytes > MaxBatchBytes && !Batch.Records.empty())
      break;
    Batch.Records.push_back(One.Record);
    Batch.PositionAfter = One.PositionAfter;
  }
  Batch.PositionAfter.Ready = S.Ready;
  return Batch;
}

void Reducer::forward(core::LogOffset First) {
  for (const std::string &To : downstreamAddresses())
    sendRecordsFrom(To, First);
  S.NextHeartbeat = Now.Mono + HeartbeatPeriod;
}

/// Sends all records from an offset on; the position alone when they are no
/// longer kept, so that the receiver asks for a snapshot.
void Reducer::sendRecordsFrom(const std::string &To, core::LogOffset First) {
  if (!hasRecordsFrom(First))
    First = S.ConfigPosition.NextOffset;
  do {
    RecordBatch Batch = batchFrom(First);
    First = Batch.PositionAfter.NextOffset;
    Out.push_back(SendRecords{To, std::move(Batch)});
  } while (First < S.ConfigPosition.NextOffset);
}

/// Children in the tree, and for the region reader the leads of its region.
std::vector<std::string> Reducer::downstreamAddresses() const {
  std::vector<std::string> To;
  std::size_t Rank = 0;
  while (Rank < S.RankedMembers.size() &&
         S.RankedMembers[Rank].Contact.Node != S.Local.Self.Node)
    ++Rank;
  if (Rank < S.RankedMembers.size())
    addChildren(Rank, To);
  // The standby of a silent lead feeds the lead's children as well.
  if (Rank == 1 && actsAsLead(S, Now.Mono))
    addChildren(0, To);
  if (isRegionReader(S))
    for (const RemoteLead &Lead : S.RemoteLeads)
      if (Lead.Region == S.Local.Region)
        To.push_back(Lead.Contact.Address);
  std::erase(To, S.Local.Self.Address);
  return To;
}

void Reducer::addChildren(std::size_t Rank,
                          std::vector<std::string> &To) const {
  for (const std::size_t Child :
       membership::childRanks(Rank, S.RankedMembers.size())) {
    To.push_back(S.RankedMembers[Child].Contact.Address);
    if (S.RankedMembers[Child].Suspect)
      addChildren(Child, To);
  }
}

void Reducer::on(const RecordsRequested &What) {
  if (What.Request.WantsLogEnd)
    addLogEndWaiter(What.From.Address);
  if (What.Request.FirstOffset > S.ConfigPosition.NextOffset)
    recordPeerAhead(What.From, What.Request.FirstOffset, false);
  if (What.Request.WantsSnapshot || !hasRecordsFrom(What.Request.FirstOffset)) {
    if (What.Request.FirstOffset <= S.ConfigPosition.NextOffset) {
      serveSnapshot(What.From);
      return;
    }
  }
  const core::LogOffset First =
      std::min(What.Request.FirstOffset, S.ConfigPosition.NextOffset);
  Out.push_back(SendRecords{What.From.Address, batchFrom(First)});
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

/// The lead tells its standby, and the region reader the leads of its region,
/// that it is there. A reader without the log stays silent, so that the other
/// leads try the log themselves.
void Reducer::tickHeartbeat() {
  if (Now.Mono < S.NextHeartbeat || !isLead(S))
    return;
  S.NextHeartbeat = Now.Mono + HeartbeatPeriod;
  const RecordBatch Beat = batchFrom(S.ConfigPosition.NextOffset);
  if (S.RankedMembers.size() > 1)
    Out.push_back(SendRecords{S.RankedMembers[1].Contact.Address, Beat});
  if (!isRegionReader(S) || !S.LogReader.LogAvailable)
    return;
  for (const RemoteLead &Lead : S.RemoteLeads)
    if (Lead.Region == S.Local.Region && Lead.Contact.Node != S.Local.Self.Node)
      Out.push_back(SendRecords{Lead.Contact.Address, Beat});
}

} // namespace filbertvane::decision::distribution
