#include "filbertvane/decision/mesh/SharedRetryBudget.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

/// Share of the budget that is spent. The rest covers calls that a retried run
/// makes again, which other nodes count as first requests, and nodes that do
/// not know each other yet.
constexpr double SpendableShare = 0.6;

} // namespace

std::int64_t SharedRetryBudget::sliceNumber(core::TimePoint Now) const {
  const core::Microseconds SliceLength = std::max<core::Microseconds>(
      Settings.Window / SliceCount, core::Milliseconds(1));
  return Now.time_since_epoch() / SliceLength;
}

SharedRetryBudget::Slice &SharedRetryBudget::sliceAt(core::TimePoint Now) {
  const std::int64_t Number = sliceNumber(Now);
  Slice &Current = Ring[static_cast<std::size_t>(Number) % SliceCount];
  if (Current.Number != Number)
    Current = {Number, 0, 0};
  return Current;
}

void SharedRetryBudget::recordRequest(core::TimePoint Now) {
  ++sliceAt(Now).Requests;
}

void SharedRetryBudget::recordRetry(core::TimePoint Now) {
  ++sliceAt(Now).Retries;
}

double SharedRetryBudget::remaining(std::size_t Nodes,
                                    core::TimePoint Now) const {
  const std::int64_t Oldest =
      sliceNumber(Now) - static_cast<std::int64_t>(SliceCount) + 1;
  double Requests = 0;
  double Retries = 0;
  for (const Slice &Entry : Ring) {
    if (Entry.Number < Oldest)
      continue;
    Requests += Entry.Requests;
    Retries += Entry.Retries;
  }
  const double SlackShare =
      Settings.Slack / static_cast<double>(std::max<std::size_t>(Nodes, 1));
  return SpendableShare * (Settings.Ratio * Requests + SlackShare) - Retries;
}

bool SharedRetryBudget::tryTake(std::size_t Nodes, core::TimePoint Now) {
  if (remaining(Nodes, Now) < 1) {
    ++DeniedCount;
    return false;
  }
  ++TakenCount;
  ++sliceAt(Now).Retries;
  return true;
}

} // namespace filbertvane::decision::mesh
