#include "filbertvane/decision/request/TargetPicker.h"
#include "filbertvane/decision/request/WarmUp.h"
#include <algorithm>

namespace filbertvane::decision::request {

namespace {

/// Latency assumed for a target without samples, in microseconds.
constexpr double DefaultLatencyUs = 1000;
/// Bytes of bulk traffic that are weighted like one request.
constexpr double BulkBytesPerRequest = 64 * 1024;

/// Keeps the cost finite for a target that refuses all requests.
constexpr double MinAcceptRate = 0.05;

/// Finds the first untried member, starting at a position.
std::optional<TargetIndex> untriedFrom(const PickContext &Context,
                                       std::size_t Start) {
  const std::size_t Count = Context.Members.size();
  for (std::size_t Step = 0; Step < Count; ++Step) {
    const TargetIndex Index = Context.Members[(Start + Step) % Count];
    if (!Context.wasTried(Index))
      return Index;
  }
  return std::nullopt;
}

} // namespace

bool PickContext::wasTried(TargetIndex Index) const {
  return std::find(Tried.begin(), Tried.end(), Index) != Tried.end();
}

double expectedCost(const Target &Candidate, config::TrafficKind Kind,
                    core::TimePoint Now) {
  const double Latency = Candidate.Health.LatencyUs > 0
                             ? Candidate.Health.LatencyUs
                             : DefaultLatencyUs;
  double Load = Candidate.Outstanding + 1.0;
  if (Kind == config::TrafficKind::Bulk)
    Load += static_cast<double>(Candidate.BytesInFlight) / BulkBytesPerRequest;
  const double AcceptRate = MinAcceptRate + 1 - Candidate.Health.RefusalRate;
  return Load * Latency /
         (AcceptRate * warmUpShare(Candidate.WarmUpStart, Now));
}

std::optional<TargetIndex> PowerOfTwoChoices::pick(const PickContext &Context,
                                                   core::Random &Rng) {
  const std::size_t Count = Context.Members.size();
  if (Count == 0)
    return std::nullopt;
  const std::size_t Start = Rng.below(Count);
  const std::optional<TargetIndex> A = untriedFrom(Context, Start);
  if (!A || Count == 1)
    return A;
  const std::size_t Other = (Start + 1 + Rng.below(Count - 1)) % Count;
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
                                              core::Random &Rng) {
  const std::size_t Count = Context.Members.size();
  if (Count == 0)
    return std::nullopt;
  const std::size_t Start = Rng.below(Count);
  for (std::size_t Step = 0; Step < Count; ++Step) {
    const TargetIndex Index = Context.Members[(Start + Step) % Count];
    const bool HasCredit = Context.Targets[Index].Outstanding < Credits;
    if (HasCredit && !Context.wasTried(Index))
      return Index;
  }
  return untriedFrom(Context, Start);
}

} // namespace filbertvane::decision::request
