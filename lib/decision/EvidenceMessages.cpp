#include "EvidenceMessages.h"
#include <algorithm>

namespace filbertvane::decision {

namespace {

std::vector<std::uint64_t> toCounts(const rollout::LatencyHistogram &Of) {
  return {Of.Counts.begin(), Of.Counts.end()};
}

/// Ignores counts beyond the buckets that this process knows.
rollout::LatencyHistogram fromCounts(const std::vector<std::uint64_t> &Counts) {
  rollout::LatencyHistogram Histogram;
  const std::size_t Shared = std::min(Counts.size(), Histogram.Counts.size());
  std::copy_n(Counts.begin(), Shared, Histogram.Counts.begin());
  return Histogram;
}

wire::RouteEvidence toMessage(const core::RouteName &Route,
                              const rollout::RouteCounts &Counts) {
  return {Route,
          Counts.New.Answers,
          Counts.New.Faults,
          Counts.Old.Answers,
          Counts.Old.Faults,
          toCounts(Counts.New.Latency),
          toCounts(Counts.Old.Latency),
          {},
          {}};
}

rollout::RouteCounts fromMessage(const wire::RouteEvidence &Message) {
  return {
      {Message.NewAnswers, Message.NewFaults, fromCounts(Message.NewLatency)},
      {Message.OldAnswers, Message.OldFaults, fromCounts(Message.OldLatency)}};
}

void addCrashes(wire::RouteEvidence &To,
                const std::vector<rollout::Crash> &Crashes) {
  for (const rollout::Crash &Each : Crashes)
    (Each.OnNewVersion ? To.NewCrashes : To.OldCrashes)
        .push_back(Each.RequestDigest);
}

/// Merges counts and crashes of each route; a route may have only one of them.
std::vector<wire::RouteEvidence> routesOf(const rollout::Evidence &Report,
                                          const config::MoveId &Move) {
  std::map<core::RouteName, wire::RouteEvidence> Routes;
  if (const auto Found = Report.Moves.find(Move); Found != Report.Moves.end())
    for (const auto &[Route, Counts] : Found->second)
      Routes[Route] = toMessage(Route, Counts);
  if (const auto Found = Report.Crashes.find(Move);
      Found != Report.Crashes.end())
    for (const auto &[Route, Crashes] : Found->second) {
      Routes[Route].Route = Route;
      addCrashes(Routes[Route], Crashes);
    }
  std::vector<wire::RouteEvidence> All;
  All.reserve(Routes.size());
  for (auto &[Route, Each] : Routes)
    All.push_back(std::move(Each));
  return All;
}

} // namespace

wire::Evidence toMessage(const rollout::Evidence &Report) {
  wire::Evidence Message{
      Report.Sender, Report.SenderIncarnation, Report.Revision, {}};
  std::set<config::MoveId> Moves;
  for (const auto &[Move, Counts] : Report.Moves)
    Moves.insert(Move);
  for (const auto &[Move, Crashes] : Report.Crashes)
    Moves.insert(Move);
  for (const config::MoveId &Move : Moves)
    Message.Moves.push_back({Move, routesOf(Report, Move)});
  return Message;
}

rollout::Evidence fromMessage(const wire::Evidence &Message) {
  rollout::Evidence Report{
      Message.Sender, Message.Number, Message.Revision, {}, {}};
  for (const wire::MoveEvidence &Each : Message.Moves) {
    rollout::MoveCounts &Counts = Report.Moves[Each.Move];
    for (const wire::RouteEvidence &Route : Each.Routes) {
      Counts[Route.Route] = fromMessage(Route);
      for (const core::Digest &Request : Route.NewCrashes)
        Report.Crashes[Each.Move][Route.Route].push_back({Request, true});
      for (const core::Digest &Request : Route.OldCrashes)
        Report.Crashes[Each.Move][Route.Route].push_back({Request, false});
    }
  }
  return Report;
}

wire::LocalRollback toMessage(const rollout::LocalRollback &Value) {
  return {Value.Move,      Value.DataCentre, Value.Verdict,
          Value.CreatedAt, Value.Share,      Value.Proven};
}

rollout::LocalRollback fromMessage(const wire::LocalRollback &Message) {
  return {Message.Move, Message.DataCentre, Message.Share,
          Message.At,   Message.Proven,     Message.Decided};
}

} // namespace filbertvane::decision
