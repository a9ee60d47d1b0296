#include "filbertvane/decision/request/Ejection.h"
#include <algorithm>

namespace filbertvane::decision::request {

namespace {

/// Weight of one attempt in the moving averages.
constexpr double AverageWeight = 1.0 / 16;
/// Attempts before the averages of a target are evaluated.
constexpr std::uint32_t MinSamples = 20;
constexpr double MaxFaultRate = 0.5;
/// A target is slow if its latency exceeds this multiple of the median latency
/// of its group.
constexpr double SlowLatencyFactor = 3;
/// Latency differences below this are ignored, in microseconds.
constexpr double MinSlowDifferenceUs = 10000;
/// Minimum number of targets for a meaningful median.
constexpr std::size_t MinMembersForMedian = 3;

bool isEvaluated(const Target &Member) {
  return !Member.Health.EjectedUntil && Member.Health.Samples >= MinSamples;
}

std::optional<double> medianLatency(std::span<const TargetIndex> Members,
                                    std::span<const Target> Targets) {
  std::vector<double> Latencies;
  for (TargetIndex Index : Members)
    if (isEvaluated(Targets[Index]))
      Latencies.push_back(Targets[Index].Health.LatencyUs);
  if (Latencies.size() < MinMembersForMedian)
    return std::nullopt;
  const auto MiddleLatency =
      Latencies.begin() + static_cast<std::ptrdiff_t>(Latencies.size() / 2);
  std::nth_element(Latencies.begin(), MiddleLatency, Latencies.end());
  return *MiddleLatency;
}

bool isSlow(const Target &Member, std::optional<double> Median) {
  if (!Median)
    return false;
  const double Limit =
      std::max(*Median * SlowLatencyFactor, *Median + MinSlowDifferenceUs);
  return Member.Health.LatencyUs > Limit;
}

} // namespace

bool recordAttempt(TargetHealth &Health, bool Fault,
                   core::Microseconds Latency) {
  const auto LatencyUs = static_cast<double>(Latency.count());
  const bool First = Health.Samples == 0;
  Health.Samples = std::min(Health.Samples + 1, MinSamples);
  Health.LatencyUs +=
      (LatencyUs - Health.LatencyUs) * (First ? 1.0 : AverageWeight);
  Health.RefusalRate -= Health.RefusalRate * AverageWeight;
  Health.FaultRate += ((Fault ? 1.0 : 0.0) - Health.FaultRate) * AverageWeight;
  Health.ConsecutiveFaults = Fault ? Health.ConsecutiveFaults + 1 : 0;
  return Health.ConsecutiveFaults >= ConsecutiveFaultLimit;
}

void recordRefusal(TargetHealth &Health) {
  Health.RefusalRate += (1 - Health.RefusalRate) * AverageWeight;
}

std::vector<TargetIndex> findOutliers(std::span<const TargetIndex> Members,
                                      std::span<const Target> Targets) {
  const std::optional<double> Median = medianLatency(Members, Targets);
  std::vector<TargetIndex> Found;
  for (TargetIndex Index : Members) {
    const Target &Member = Targets[Index];
    const bool Faulty =
        Member.Health.FaultRate > MaxFaultRate ||
        Member.Health.ConsecutiveFaults >= ConsecutiveFaultLimit;
    if (isEvaluated(Member) && (Faulty || isSlow(Member, Median)))
      Found.push_back(Index);
  }
  return Found;
}

namespace {

std::vector<TargetIndex> ejectedMembers(const TargetTable &Targets,
                                        std::span<const TargetIndex> Members) {
  std::vector<TargetIndex> Found;
  for (TargetIndex Index : Members)
    if (Targets[Index].Health.EjectedUntil)
      Found.push_back(Index);
  return Found;
}

} // namespace

void limitEjections(TargetTable &Targets, std::span<const TargetIndex> Members,
                    core::TimePoint Now) {
  std::vector<TargetIndex> Ejected = ejectedMembers(Targets, Members);
  std::sort(
      Ejected.begin(), Ejected.end(), [&Targets](TargetIndex A, TargetIndex B) {
        return Targets[A].Health.EjectedUntil > Targets[B].Health.EjectedUntil;
      });
  while (Ejected.size() * 2 > Members.size()) {
    Targets[Ejected.back()].Health.EjectedUntil = Now;
    readmit(Targets, std::span(&Ejected.back(), 1), Now);
    Ejected.pop_back();
  }
}

bool eject(TargetTable &Targets, std::span<const TargetIndex> Members,
           TargetIndex Index, core::TimePoint Now) {
  const std::size_t Ejected = ejectedMembers(Targets, Members).size();
  TargetHealth &Health = Targets[Index].Health;
  if (Health.EjectedUntil || (Ejected + 1) * 2 > Members.size())
    return false;
  const std::uint32_t Doublings = std::min(Health.Ejections, 4U);
  const core::Seconds Time =
      std::min(BaseEjectionTime * (1U << Doublings), MaxEjectionTime);
  Health.EjectedUntil = Now + Time;
  ++Health.Ejections;
  return true;
}

std::vector<TargetIndex> readmit(TargetTable &Targets,
                                 std::span<const TargetIndex> Members,
                                 core::TimePoint Now) {
  std::vector<TargetIndex> Readmitted;
  for (TargetIndex Index : Members) {
    Target &Member = Targets[Index];
    if (!Member.Health.EjectedUntil || *Member.Health.EjectedUntil > Now)
      continue;
    const std::uint32_t Ejections = Member.Health.Ejections;
    Member.Health = TargetHealth{};
    Member.Health.Ejections = Ejections;
    Member.WarmUpStart = Now;
    Readmitted.push_back(Index);
  }
  return Readmitted;
}

} // namespace filbertvane::decision::request
