#include "filbertvane/decision/request/TargetPicker.h"
#include "filbertvane/decision/request/WarmUp.h"
#include <algorithm>

namespace filbertvane::decision::request {

namespace {

/// Latency assumed for a target without observations, in microseconds.
constexpr double UnknownLatencyUs = 1000;
/// Bulk bytes that count as one request.
constexpr double BytesPerUnit = 64 * 1024;

/// Keeps the cost of a target that refuses everything finite.
constexpr double LeastTaken = 0.05;

/// First untried member from a start position on.
std::optional<TargetIndex> untriedFrom(const PickContext &Context,
                                       std::size_t Start) {
  const std::size_t Count = Context.Members.size();
  for (std::size_t Step = 0; Step < Count; ++Step) {
    const TargetIndex At = Context.Members[(Start + Step) % Count];
    if (!Context.wasTried(At))
      return At;
  }
  return std::nullopt;
}

} // namespace

bool PickContext::wasTried(TargetIndex At) const {
  return std::find(Tried.begin(), Tried.end(), At) != Tried.end();
}

double expectedCost(const Target &Candidate, config::TrafficKind Kind,
                    core::TimePoint Now) {
  const double Latency = Candidate.Health.LatencyUs > 0
                             ? Candidate.Health.LatencyUs
                             : UnknownLatencyUs;
  double Load = Candidate.Outstanding + 1.0;
  if (Kind == config::TrafficKind::Bulk)
    Load += static_cast<double>(Candidate.BytesInFlight) / BytesPerUnit;
  const double Taken = LeastTaken + 1 - Candidate.Health.RefusalRate;
  return Load * Latency / (Taken * warmUpShare(Candidate.WarmUpStart, Now));
}

std::optional<TargetIndex> PowerOfTwoChoices::pick(const PickContext &Context,
                                                   core::Random &Source) {
  const std::size_t Count = Context.Members.size();
  if (Count == 0)
    return std::nullopt;
  const std::size_t Start = Source.below(Count);
  const std::optional<TargetIndex> A = untriedFrom(Context, Start);
  if (!A || Count == 1)
    return A;
  const std::size_t Other = (Start + 1 + Source.below(Count - 1)) % Count;
  const std::optional<TargetIndex> B = untriedFrom(Context, Other);
  const double CostA =
      expectedCost(Context.Targets[*A], Context.Kind, Context.Now);
  const double CostB =
      expectedCost(Context.Targets[*B], Context.Kind, Context.Now);
  return CostB < CostA ? B : A;
}

std::optional<TargetIndex> RoundRobin::pick(const PickContext &Context,
                                            core::Random &) {
  if (Context.Members.empty())
    return std::nullopt;
  return untriedFrom(Context, Position++ % Context.Members.size());
}

std::optional<TargetIndex> CreditScheme::pick(const PickContext &Context,
                                              core::Random &Source) {
  const std::size_t Count = Context.Members.size();
  if (Count == 0)
    return std::nullopt;
  const std::size_t Start = Source.below(Count);
  for (std::size_t Step = 0; Step < Count; ++Step) {
    const TargetIndex At = Context.Members[(Start + Step) % Count];
    const bool HasCredit = Context.Targets[At].Outstanding < Credits;
    if (HasCredit && !Context.wasTried(At))
      return At;
  }
  return untriedFrom(Context, Start);
}

} // namespace filbertvane::decision::request
