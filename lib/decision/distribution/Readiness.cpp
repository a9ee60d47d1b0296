#include "Reducer.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::distribution {

void Reducer::recordReport(const Peer &From, const Position &At) {
  if (S.Ready)
    return;
  if (S.PeerReports.size() >= MaxPeerReports &&
      !S.PeerReports.contains(From.Node))
    return;
  PeerReport &One = S.PeerReports[From.Node];
  One.NextOffset = At.NextOffset;
  One.HeardAt = Now.Mono;
  if (!At.Ready)
    One.ReadySince.reset();
  else if (!One.ReadySince)
    One.ReadySince = Now.Mono;
}

void Reducer::recordLogEnd(const Peer &From, const RecordBatch &Batch) {
  const auto Known = S.PeerReports.find(From.Node);
  if (S.Ready || Known == S.PeerReports.end())
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
    // The peer is behind as well: its position does not suffice.
    Known->second.NextOffset =
        core::LogOffset(Batch.PositionAfter.NextOffset.value() + 1);
    return;
  case LogEndStatus::Unavailable:
    Known->second.LogUnavailable = true;
    return;
  }
}

/// Asks the lead of the data centre, and a node outside it, since the log may
/// be out of reach for the whole data centre.
void Reducer::requestLogEnd() {
  S.NextLogEndRequest = Now.Mono + LogEndRequestPeriod;
  const RecordsRequest What{S.ConfigPosition.NextOffset, false, true};
  if (!S.RankedMembers.empty() && !isLead(S))
    Out.push_back(RequestLogEnd{S.RankedMembers.front().Contact.Address, What});
  if (S.Local.RemoteSeeds.empty())
    return;
  const std::size_t Chosen = S.Rng.below(S.Local.RemoteSeeds.size());
  Out.push_back(RequestLogEnd{S.Local.RemoteSeeds[Chosen], What});
}

void Reducer::addLogEndWaiter(const std::string &Address) {
  std::vector<std::string> &Waiting = S.EndChecks.Waiting;
  const bool Known =
      std::find(Waiting.begin(), Waiting.end(), Address) != Waiting.end();
  if (!Known && Waiting.size() < MaxLogEndWaiters)
    Waiting.push_back(Address);
}

/// Only a read that began after the request proves the end: one under way may
/// have been answered before the newest record was accepted.
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

void Reducer::on(const LogEndChecked &What) {
  S.EndChecks.ReadPending = false;
  const std::vector<std::string> Served = std::move(S.EndChecks.InProgress);
  S.EndChecks.InProgress.clear();
  for (const std::string &To : Served) {
    RecordBatch Batch = batchFrom(S.ConfigPosition.NextOffset);
    Batch.EndStatus = What.Status;
    // Records that were adopted during the read may be the ones that followed.
    if (What.Status == LogEndStatus::NotReached &&
        S.ConfigPosition.NextOffset > What.Offset)
      Batch.EndStatus = LogEndStatus::NotRequested;
    Out.push_back(SendRecords{To, std::move(Batch)});
  }
}

/// The end of the log proves that nothing newer was in force. A ready peer
/// proves it only when it cannot read the log either; the proof of a peer ends
/// with its report, so that one that is lost before its state arrived proves
/// nothing.
bool Reducer::isProvenCurrent() const {
  if (S.LogReader.ReachedEnd ||
      (S.ConfirmedLogEnd && *S.ConfirmedLogEnd <= S.ConfigPosition.NextOffset))
    return true;
  if (Now.Mono - S.StartedAt < LogEndTimeout)
    return false;
  return std::any_of(
      S.PeerReports.begin(), S.PeerReports.end(), [this](const auto &R) {
        const std::optional<core::TimePoint> Since = R.second.ReadySince;
        return R.second.LogUnavailable && Since &&
               Now.Mono - *Since >= PeerReportWindow;
      });
}

/// A new process serves nothing before it holds what its peers hold and knows
/// that nothing newer was in force.
void Reducer::checkReady() {
  if (S.Ready)
    return;
  std::erase_if(S.PeerReports, [this](const auto &One) {
    return Now.Mono - One.second.HeardAt > PeerReportLifetime;
  });
  const bool Behind = std::any_of(
      S.PeerReports.begin(), S.PeerReports.end(), [this](const auto &One) {
        return One.second.NextOffset > S.ConfigPosition.NextOffset;
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
