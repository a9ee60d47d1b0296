#include "filbertvane/decision/request/Ejection.h"
#include <algorithm>

namespace filbertvane::decision::request {

namespace {

/// Weight of one attempt in the moving averages.
constexpr double Weight = 1.0 / 16;
/// Attempts before the averages of a target are judged.
constexpr std::uint32_t EnoughSamples = 20;
constexpr double FaultRateLimit = 0.5;
/// A target is slow above this multiple of its group's median latency.
constexpr double SlowFactor = 3;
/// Differences below this are not worth an ejection, in microseconds.
constexpr double SlowMarginUs = 10000;
/// Fewer targets give no usable median.
constexpr std::size_t MembersForMedian = 3;

bool judged(const Target &Member) {
  return !Member.Health.EjectedUntil && Member.Health.Samples >= EnoughSamples;
}

std::optional<double> medianLatency(std::span<const TargetIndex> Members,
                                    std::span<const Target> Targets) {
  std::vector<double> Latencies;
  for (TargetIndex At : Members)
    if (judged(Targets[At]))
      Latencies.push_back(Targets[At].Health.LatencyUs);
  if (Latencies.size() < MembersForMedian)
    return std::nullopt;
  const auto Middle =
      Latencies.begin() + static_cast<std::ptrdiff_t>(Latencies.size() / 2);
  std::nth_element(Latencies.begin(), Middle, Latencies.end());
  return *Middle;
}

bool isSlow(const Target &Member, std::optional<double> Median) {
  if (!Median)
    return false;
  const double Limit = std::max(*Median * SlowFactor, *Median + SlowMarginUs);
  return Member.Health.LatencyUs > Limit;
}

} // namespace

bool recordAttempt(TargetHealth &Seen, bool Fault, core::Microseconds Latency) {
  const auto LatencyUs = static_cast<double>(Latency.count());
  const bool First = Seen.Samples == 0;
  Seen.Samples = std::min(Seen.Samples + 1, EnoughSamples);
  Seen.LatencyUs += (LatencyUs - Seen.LatencyUs) * (First ? 1.0 : Weight);
  Seen.RefusalRate -= Seen.RefusalRate * Weight;
  Seen.FaultRate += ((Fault ? 1.0 : 0.0) - Seen.FaultRate) * Weight;
  Seen.ConsecutiveFaults = Fault ? Seen.ConsecutiveFaults + 1 : 0;
  return Seen.ConsecutiveFaults >= ConsecutiveFaultLimit;
}

void recordRefusal(TargetHealth &Seen) {
  Seen.RefusalRate += (1 - Seen.RefusalRate) * Weight;
}

std::vector<TargetIndex> findOutliers(std::span<const TargetIndex> Members,
                                      std::span<const Target> Targets) {
  const std::optional<double> Median = medianLatency(Members, Targets);
  std::vector<TargetIndex> Found;
  for (TargetIndex At : Members) {
    const Target &Member = Targets[At];
    const bool Faulty =
        Member.Health.FaultRate > FaultRateLimit ||
        Member.Health.ConsecutiveFaults >= ConsecutiveFaultLimit;
    if (judged(Member) && (Faulty || isSlow(Member, Median)))
      Found.push_back(At);
  }
  return Found;
}

namespace {

std::vector<TargetIndex> ejectedOf(const TargetTable &Targets,
                                   std::span<const TargetIndex> Members) {
  std::vector<TargetIndex> Found;
  for (TargetIndex At : Members)
    if (Targets[At].Health.EjectedUntil)
      Found.push_back(At);
  return Found;
}

} // namespace

void limitEjections(TargetTable &Targets, std::span<const TargetIndex> Members,
                    core::TimePoint Now) {
  std::vector<TargetIndex> Ejected = ejectedOf(Targets, Members);
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
           TargetIndex At, core::TimePoint Now) {
  const std::size_t Ejected = ejectedOf(Targets, Members).size();
  TargetHealth &Seen = Targets[At].Health;
  if (Seen.EjectedUntil || (Ejected + 1) * 2 > Members.size())
    return false;
  const std::uint32_t Doublings = std::min(Seen.Ejections, 4U);
  const core::Seconds Time =
      std::min(BaseEjectionTime * (1U << Doublings), MaxEjectionTime);
  Seen.EjectedUntil = Now + Time;
  ++Seen.Ejections;
  return true;
}

std::vector<TargetIndex> readmit(TargetTable &Targets,
                                 std::span<const TargetIndex> Members,
                                 core::TimePoint Now) {
  std::vector<TargetIndex> Readmitted;
  for (TargetIndex At : Members) {
    Target &Member = Targets[At];
    if (!Member.Health.EjectedUntil || *Member.Health.EjectedUntil > Now)
      continue;
    const std::uint32_t Ejections = Member.Health.Ejections;
    Member.Health = TargetHealth{};
    Member.Health.Ejections = Ejections;
    Member.WarmUpStart = Now;
    Readmitted.push_back(At);
  }
  return Readmitted;
}

} // namespace filbertvane::decision::request
