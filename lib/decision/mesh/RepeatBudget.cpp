#include "filbertvane/decision/mesh/RepeatBudget.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

/// Part of the budget that is planned with. The rest covers calls that a
/// repeated run makes again, which other nodes see as first requests, and
/// nodes that do not know of each other yet.
constexpr double PlannedPart = 0.6;

} // namespace

std::int64_t RepeatBudget::numberOf(core::TimePoint Now) const {
  const core::Microseconds Length = std::max<core::Microseconds>(
      Terms.Window / Slices, core::Milliseconds(1));
  return Now.time_since_epoch() / Length;
}

RepeatBudget::Slice &RepeatBudget::at(core::TimePoint Now) {
  const std::int64_t Number = numberOf(Now);
  Slice &Current = Ring[static_cast<std::size_t>(Number) % Slices];
  if (Current.Number != Number)
    Current = {Number, 0, 0};
  return Current;
}

void RepeatBudget::noteRequest(core::TimePoint Now) { ++at(Now).Requests; }

void RepeatBudget::noteRepeat(core::TimePoint Now) { ++at(Now).Repeats; }

double RepeatBudget::left(std::size_t Nodes, core::TimePoint Now) const {
  const std::int64_t Oldest =
      numberOf(Now) - static_cast<std::int64_t>(Slices) + 1;
  double Requests = 0;
  double Repeats = 0;
  for (const Slice &Each : Ring) {
    if (Each.Number < Oldest)
      continue;
    Requests += Each.Requests;
    Repeats += Each.Repeats;
  }
  const double Part =
      Terms.Slack / static_cast<double>(std::max<std::size_t>(Nodes, 1));
  return PlannedPart * (Terms.Ratio * Requests + Part) - Repeats;
}

bool RepeatBudget::take(std::size_t Nodes, core::TimePoint Now) {
  if (left(Nodes, Now) < 1)
    return false;
  ++at(Now).Repeats;
  return true;
}

} // namespace filbertvane::decision::mesh
