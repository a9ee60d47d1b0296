#include "EvidenceMessages.h"
#include <algorithm>

namespace filbertvane::decision {

namespace {

std::vector<std::uint64_t> toCounts(const rollout::LatencyHistogram &Of) {
  return {Of.Count.begin(), Of.Count.end()};
}

/// Counts beyond the buckets of this process are dropped.
rollout::LatencyHistogram fromCounts(const std::vector<std::uint64_t> &Counts) {
  rollout::LatencyHistogram Histogram;
  const std::size_t Shared = std::min(Counts.size(), Histogram.Count.size());
  std::copy_n(Counts.begin(), Shared, Histogram.Count.begin());
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
          toCounts(Counts.Old.Latency)};
}

rollout::RouteCounts fromMessage(const wire::RouteEvidence &Message) {
  return {
      {Message.NewAnswers, Message.NewFaults, fromCounts(Message.NewLatency)},
      {Message.OldAnswers, Message.OldFaults, fromCounts(Message.OldLatency)}};
}

} // namespace

wire::Evidence toMessage(const rollout::Evidence &Report) {
  wire::Evidence Message{
      Report.Sender, Report.SenderIncarnation, Report.Revision, {}};
  for (const auto &[Move, Counts] : Report.Moves) {
    wire::MoveEvidence Each{Move, {}};
    for (const auto &[Route, Of] : Counts)
      Each.Routes.push_back(toMessage(Route, Of));
    Message.Moves.push_back(std::move(Each));
  }
  return Message;
}

rollout::Evidence fromMessage(const wire::Evidence &Message) {
  rollout::Evidence Report{
      Message.Sender, Message.Number, Message.Revision, {}};
  for (const wire::MoveEvidence &Each : Message.Moves) {
    rollout::MoveCounts &Counts = Report.Moves[Each.Move];
    for (const wire::RouteEvidence &Route : Each.Routes)
      Counts[Route.Route] = fromMessage(Route);
  }
  return Report;
}

wire::LocalRollback toMessage(const rollout::Overlay &Value) {
  return {Value.Move, Value.DataCentre, Value.Decided,
          Value.At,   Value.Share,      Value.Proven};
}

rollout::Overlay fromMessage(const wire::LocalRollback &Message) {
  return {Message.Move, Message.DataCentre, Message.Share,
          Message.At,   Message.Proven,     Message.Decided};
}

} // namespace filbertvane::decision
