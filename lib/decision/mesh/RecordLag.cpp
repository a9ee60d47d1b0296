#include "filbertvane/decision/mesh/RecordLag.h"

namespace filbertvane::decision::mesh {

namespace {

/// Only the first entry decides. Positions beyond this number are noted once
/// the node has caught up with some of them.
constexpr std::size_t MaximumKnown = 64;

} // namespace

void RecordLag::note(core::LogOffset Position, core::LogOffset Own,
                     core::TimePoint Now) {
  if (Position <= Own || Known.size() >= MaximumKnown ||
      (!Known.empty() && Position <= Known.back().Position))
    return;
  Known.push_back({Position, Now});
}

void RecordLag::reach(core::LogOffset Own) {
  while (!Known.empty() && Known.front().Position <= Own)
    Known.pop_front();
}

std::optional<RecordLag::Missing> RecordLag::oldest() const {
  if (Known.empty())
    return std::nullopt;
  return Known.front();
}

} // namespace filbertvane::decision::mesh
