#include "filbertvane/decision/mesh/RecordLag.h"

namespace filbertvane::decision::mesh {

namespace {

/// Only the first entry decides. Positions beyond this number are noted once
/// the node has caught up with some of them.
constexpr std::size_t MaximumKnown = 64;

} // namespace

void RecordLag::note(const StorePosition &Position, const StorePosition &Own,
                     core::TimePoint Now) {
  if (!isLater(Position, Own) || Known.size() >= MaximumKnown ||
      (!Known.empty() && !isLater(Position, Known.back().Position)))
    return;
  Known.push_back({Position, Now});
}

void RecordLag::reach(const StorePosition &Own) {
  while (!Known.empty() && !isLater(Known.front().Position, Own))
    Known.pop_front();
}

std::optional<RecordLag::Missing> RecordLag::oldest() const {
  if (Known.empty())
    return std::nullopt;
  return Known.front();
}

} // namespace filbertvane::decision::mesh
