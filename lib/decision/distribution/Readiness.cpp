#include "Reducer.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::distribution {

void Reducer::updateReport(const Peer &From, const Position &At) {
  if (S.Ready)
    return;
  if (S.PeerReports.size() >= MaxPeerReports &&
      !S.PeerReports.contains(From.Node))
    return;
  PeerReport &Report = S.PeerReports[From.Node];
  Report.NextOffset = At.NextOffset;
  Report.HeardAt = Now.Mono;
  if (!At.Ready)
    Report.ReadySince.reset();
  else if (!Report.ReadySince)
    Report.ReadySince = Now.Mono;
}

void Reducer::updateLogEnd(const Peer &From, const RecordBatch &Batch) {
  const auto Report = S.PeerReports.find(From.Node);
  if (S.Ready || Report == S.PeerReports.end())
    return;
  switch (Batch.EndStatus) {
  case LogEndStatus::NotRequested:
    return;
  case LogEndStatus::Reached:
    S.ConfirmedLogEnd =
        std::max(S.ConfirmedLogEnd.value_or(Batch.PositionAfter.NextOffset),
                 Batch.PositionAfter.NextOffset);
    return;
  case LogEndStatus::NotReached:
    // The peer lacks records as well, so at least one more offset is needed.
    Report->second.NextOffset =
        core::LogOffset(Batch.PositionAfter.NextOffset.value() + 1);
    return;
  case LogEndStatus::Unavailable:
    Report->second.LogUnreadable = true;
    return;
  }
}

/// Sends requests to the lead of the data centre and to a random node of
/// another one, since the whole data centre may have lost the log.
void Reducer::requestLogEnd() {
  S.NextLogEndRequest = Now.Mono + LogEndRequestPeriod;
  const RecordsRequest Request{S.ConfigPosition.NextOffset, false, true};
  if (!S.RankedMembers.empty() && !isLead(S))
    Out.push_back(
        RequestLogEnd{S.RankedMembers.front().Contact.Address, Request});
  if (S.Local.RemoteSeeds.empty())
    return;
  const std::size_t Index = S.Rng.below(S.Local.RemoteSeeds.size());
  Out.push_back(RequestLogEnd{S.Local.RemoteSeeds[Index], Request});
}

void Reducer::addLogEndWaiter(const std::string &Address) {
  std::vector<std::string> &Waiting = S.EndChecks.Waiting;
  const bool IsWaiting =
      std::find(Waiting.begin(), Waiting.end(), Address) != Waiting.end();
  if (!IsWaiting && Waiting.size() < MaxLogEndWaiters)
    Waiting.push_back(Address);
}

/// Starts a new read for pending requests. A read that began earlier does not
/// prove the end, because it may have been answered before the newest record
/// was accepted.
void Reducer::tickLogEndChecks() {
  if (!S.Ready && !S.ConfirmedLogEnd && !S.LogReader.ReachedEnd &&
      Now.Mono >= S.NextLogEndRequest)
    requestLogEnd();
  if (S.EndChecks.ReadPending || S.EndChecks.Waiting.empty())
    return;
  S.EndChecks.ReadPending = true;
  S.EndChecks.InProgress = std::move(S.EndChecks.Waiting);
  S.EndChecks.Waiting.clear();
  Out.push_back(CheckLogEnd{S.ConfigPosition.NextOffset});
}

void Reducer::on(const LogEndChecked &E) {
  S.EndChecks.ReadPending = false;
  const std::vector<std::string> Served = std::move(S.EndChecks.InProgress);
  S.EndChecks.InProgress.clear();
  for (const std::string &To : Served) {
    RecordBatch Batch = batchFrom(S.ConfigPosition.NextOffset);
    Batch.EndStatus = E.Status;
    // The records that followed may have been adopted during the read.
    if (E.Status == LogEndStatus::NotReached &&
        S.ConfigPosition.NextOffset > E.Offset)
      Batch.EndStatus = LogEndStatus::NotRequested;
    Out.push_back(SendRecords{To, std::move(Batch)});
  }
}

/// Whether no newer version can have been in force: the end of the log is
/// reached, or a ready peer cannot read the log either. The proof of a peer
/// expires with its report, so that a peer that is lost before its state
/// arrived proves nothing.
bool Reducer::isProvenCurrent() const {
  if (S.LogReader.ReachedEnd ||
      (S.ConfirmedLogEnd && *S.ConfirmedLogEnd <= S.ConfigPosition.NextOffset))
    return true;
  if (Now.Mono - S.StartedAt < LogEndTimeout)
    return false;
  return std::any_of(
      S.PeerReports.begin(), S.PeerReports.end(), [this](const auto &Entry) {
        const std::optional<core::TimePoint> Since = Entry.second.ReadySince;
        return Entry.second.LogUnreadable && Since &&
               Now.Mono - *Since >= PeerReportWindow;
      });
}

/// A new process becomes ready when it holds the newest state of its peers and
/// no newer version can have been in force.
void Reducer::checkReady() {
  if (S.Ready)
    return;
  std::erase_if(S.PeerReports, [this](const auto &Entry) {
    return Now.Mono - Entry.second.HeardAt > PeerReportLifetime;
  });
  const bool Behind = std::any_of(
      S.PeerReports.begin(), S.PeerReports.end(), [this](const auto &Entry) {
        return Entry.second.NextOffset > S.ConfigPosition.NextOffset;
      });
  if (Behind || !isProvenCurrent())
    return;
  S.Ready = true;
  S.ConfigPosition.Ready = true;
  S.PeerReports.clear();
  log(observe::EventId::DistributionReady,
      fmt::format("offset {} version {}", S.ConfigPosition.NextOffset.value(),
                  S.ConfigPosition.Version.value()));
  Out.push_back(ReadyChanged{true});
}

} // namespace filbertvane::decision::distribution
