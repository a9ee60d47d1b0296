#include "Reducer.h"
#include <algorithm>
#include <fmt/format.h>

namespace filbertvane::decision::distribution {

void Reducer::noteReport(const Peer &From, const Position &At) {
  if (S.Ready)
    return;
  if (S.Reports.size() >= MaxReports && !S.Reports.contains(From.Node))
    return;
  Report &One = S.Reports[From.Node];
  One.Next = At.Next;
  One.HeardAt = Now.Mono;
  if (!At.Ready)
    One.ReadySince.reset();
  else if (!One.ReadySince)
    One.ReadySince = Now.Mono;
}

void Reducer::noteEnd(const Peer &From, const RecordBatch &Batch) {
  const auto Known = S.Reports.find(From.Node);
  if (S.Ready || Known == S.Reports.end())
    return;
  switch (Batch.End) {
  case LogEnd::NotAsked:
    return;
  case LogEnd::Reached:
    S.ConfirmedEnd =
        std::max(S.ConfirmedEnd.value_or(Batch.After.Next), Batch.After.Next);
    return;
  case LogEnd::Further:
    // The peer is behind as well: its position does not suffice.
    Known->second.Next = core::LogOffset(Batch.After.Next.value() + 1);
    return;
  case LogEnd::Unread:
    Known->second.WithoutLog = true;
    return;
  }
}

/// Asks the lead of the data centre, and a node outside it, since the log may
/// be out of reach for the whole data centre.
void Reducer::requestEnd() {
  S.NextEndRequest = Now.Mono + EndRequestPeriod;
  const RecordsRequest What{S.At.Next, false, true};
  if (!S.Order.empty() && !isLead(S))
    Out.push_back(RequestEnd{S.Order.front().At.Address, What});
  if (S.Own.Outside.empty())
    return;
  const std::size_t Chosen = S.Chance.below(S.Own.Outside.size());
  Out.push_back(RequestEnd{S.Own.Outside[Chosen], What});
}

void Reducer::addEndWaiter(const std::string &Address) {
  std::vector<std::string> &Waiting = S.Ends.Waiting;
  const bool Known =
      std::find(Waiting.begin(), Waiting.end(), Address) != Waiting.end();
  if (!Known && Waiting.size() < MaxEndWaiters)
    Waiting.push_back(Address);
}

/// Only a read that began after the request proves the end: one under way may
/// have been answered before the newest record was accepted.
void Reducer::tickEnds() {
  if (!S.Ready && !S.ConfirmedEnd && !S.Log.ReachedEnd &&
      Now.Mono >= S.NextEndRequest)
    requestEnd();
  if (S.Ends.Pending || S.Ends.Waiting.empty())
    return;
  S.Ends.Pending = true;
  S.Ends.Served = std::move(S.Ends.Waiting);
  S.Ends.Waiting.clear();
  Out.push_back(CheckEnd{S.At.Next});
}

void Reducer::on(const EndChecked &What) {
  S.Ends.Pending = false;
  const std::vector<std::string> Served = std::move(S.Ends.Served);
  S.Ends.Served.clear();
  for (const std::string &To : Served) {
    RecordBatch Batch = batchFrom(S.At.Next);
    Batch.End = What.Found;
    // Records that were adopted during the read may be the ones that followed.
    if (What.Found == LogEnd::Further && S.At.Next > What.From)
      Batch.End = LogEnd::NotAsked;
    Out.push_back(SendRecords{To, std::move(Batch)});
  }
}

/// The end of the log proves that nothing newer was in force. A ready peer
/// proves it only when it cannot read the log either; the proof of a peer ends
/// with its report, so that one that is lost before its state arrived proves
/// nothing.
bool Reducer::proven() const {
  if (S.Log.ReachedEnd || (S.ConfirmedEnd && *S.ConfirmedEnd <= S.At.Next))
    return true;
  if (Now.Mono - S.StartedAt < EndWait)
    return false;
  return std::any_of(S.Reports.begin(), S.Reports.end(), [this](const auto &R) {
    const std::optional<core::TimePoint> Since = R.second.ReadySince;
    return R.second.WithoutLog && Since && Now.Mono - *Since >= SettleTime;
  });
}

/// A new process serves nothing before it holds what its peers hold and knows
/// that nothing newer was in force.
void Reducer::checkReady() {
  if (S.Ready)
    return;
  std::erase_if(S.Reports, [this](const auto &One) {
    return Now.Mono - One.second.HeardAt > ReportLifetime;
  });
  const bool Behind =
      std::any_of(S.Reports.begin(), S.Reports.end(), [this](const auto &One) {
        return One.second.Next > S.At.Next;
      });
  if (Behind || !proven())
    return;
  S.Ready = true;
  S.At.Ready = true;
  S.Reports.clear();
  log(observe::EventId::DistributionReady,
      fmt::format("offset {} version {}", S.At.Next.value(),
                  S.At.Version.value()));
  Out.push_back(ReadyChanged{true});
}

} // namespace filbertvane::decision::distribution
