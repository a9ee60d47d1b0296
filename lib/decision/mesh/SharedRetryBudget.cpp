#include "filbertvane/decision/mesh/SharedRetryBudget.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

/// Part of the budget that is planned with. The rest covers calls that a
/// repeated run makes again, which other nodes see as first requests, and
/// nodes that do not know of each other yet.
constexpr double PlannedPart = 0.6;

} // namespace

std::int64_t SharedRetryBudget::sliceNumber(core::TimePoint Now) const {
  const core::Microseconds Length = std::max<core::Microseconds>(
      Settings.Window / SliceCount, core::Milliseconds(1));
  return Now.time_since_epoch() / Length;
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
  double Repeats = 0;
  for (const Slice &Each : Ring) {
    if (Each.Number < Oldest)
      continue;
    Requests += Each.Requests;
    Repeats += Each.Retries;
  }
  const double Part =
      Settings.Slack / static_cast<double>(std::max<std::size_t>(Nodes, 1));
  return PlannedPart * (Settings.Ratio * Requests + Part) - Repeats;
}

bool SharedRetryBudget::tryTake(std::size_t Nodes, core::TimePoint Now) {
  if (remaining(Nodes, Now) < 1)
    return false;
  ++sliceAt(Now).Retries;
  return true;
}

} // namespace filbertvane::decision::mesh
