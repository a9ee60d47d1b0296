#include "filbertvane/decision/mesh/SharedRetryBudget.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

/// Share of the ratio that is spent. Requests can move from node to node: in
/// one window, some nodes spend what they earned in the window before it and
/// others what they earn in it, so that all together may spend twice the share.
constexpr double RatioShare = 0.5;
/// Share of the fixed part that is spent. The rest covers calls of repeated
/// runs that their host does not know, and nodes that do not know each other
/// yet.
constexpr double SlackShare = 0.6;
/// Factor of both in the first window of a process, whose predecessor may have
/// spent its share shortly before.
constexpr double StartingFactor = 0.5;

} // namespace

std::int64_t SharedRetryBudget::sliceNumber(core::TimePoint Now) const {
  const core::Microseconds SliceLength = std::max<core::Microseconds>(
      Settings.Window / SliceCount, core::Milliseconds(1));
  return Now.time_since_epoch() / SliceLength;
}

void SharedRetryBudget::recordRequest(core::TimePoint Now) {
  const std::int64_t Number = sliceNumber(Now);
  Slice &Current = Requests[static_cast<std::size_t>(Number) % SliceCount];
  if (Current.Number != Number)
    Current = {Number, 0};
  ++Current.Requests;
}

double SharedRetryBudget::requestsInWindow(core::TimePoint Now) const {
  const std::int64_t Oldest =
      sliceNumber(Now) - static_cast<std::int64_t>(SliceCount) + 1;
  double Count = 0;
  for (const Slice &Entry : Requests)
    if (Entry.Number >= Oldest)
      Count += Entry.Requests;
  return Count;
}

std::size_t SharedRetryBudget::repeatsInWindow(core::TimePoint Now) const {
  const auto First = std::ranges::upper_bound(Repeats, Now - Settings.Window);
  return static_cast<std::size_t>(Repeats.end() - First);
}

void SharedRetryBudget::addRepeat(core::TimePoint Now) {
  while (!Repeats.empty() && Repeats.front() <= Now - Settings.Window)
    Repeats.pop_front();
  Repeats.push_back(Now);
}

bool SharedRetryBudget::tryTakeCall(std::size_t Nodes, core::TimePoint Now) {
  if (remaining(Nodes, Now) < 1) {
    ++DeniedCount;
    return false;
  }
  addRepeat(Now);
  ++RepeatedCallCount;
  return true;
}

double SharedRetryBudget::remaining(std::size_t Nodes,
                                    core::TimePoint Now) const {
  const double NodeSlack =
      Settings.Slack / static_cast<double>(std::max<std::size_t>(Nodes, 1));
  const double Age = std::min(
      1.0,
      static_cast<double>((Now - KnownSince).count()) /
          static_cast<double>(core::Microseconds(Settings.Window).count()));
  // The fixed part builds up with the age of the process: otherwise a process
  // that ends again and again would spend it each time.
  const double Allowed = (Age < 1 ? StartingFactor : 1.0) *
                         (RatioShare * Settings.Ratio * requestsInWindow(Now) +
                          SlackShare * NodeSlack * Age);
  return Allowed - static_cast<double>(repeatsInWindow(Now));
}

bool SharedRetryBudget::tryTake(std::size_t Nodes, core::TimePoint Now,
                                double Reserved) {
  if (remaining(Nodes, Now) - Reserved < 1) {
    ++DeniedCount;
    return false;
  }
  addRepeat(Now);
  ++TakenCount;
  return true;
}

} // namespace filbertvane::decision::mesh
