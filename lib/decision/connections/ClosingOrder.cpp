#include "filbertvane/decision/connections/ClosingOrder.h"
#include <algorithm>
#include <tuple>

namespace filbertvane::decision::connections {

namespace {

template <typename Accepted, typename Rank>
std::optional<std::size_t> lowest(std::span<const ConnectionUse> All,
                                  Accepted Accepts, Rank RankOf) {
  std::optional<std::size_t> Found;
  for (std::size_t I = 0; I < All.size(); ++I)
    if (Accepts(All[I]) && (!Found || RankOf(All[I]) < RankOf(All[*Found])))
      Found = I;
  return Found;
}

} // namespace

/// A caller that sends as its idle connection closes knows that its request was
/// not read, and sends it again. A node could not tell.
std::optional<std::size_t> closeForRoom(std::span<const ConnectionUse> All) {
  return lowest(
      All,
      [](const ConnectionUse &Use) {
        return Use.Reached != Progress::Served ||
               (Use.IdleUntil && !Use.FromNode);
      },
      [](const ConnectionUse &Use) {
        return std::tuple(Use.Reached, Use.Reached == Progress::Served
                                           ? *Use.IdleUntil
                                           : Use.OpenedAt);
      });
}

std::optional<std::size_t> closeForMemory(std::span<const ConnectionUse> All) {
  return lowest(
      All, [](const ConnectionUse &Use) { return Use.HeldBytes > 0; },
      [](const ConnectionUse &Use) {
        const bool Served = Use.Reached == Progress::Served;
        return std::tuple(Use.FromNode, Served,
                          Served ? core::TimePoint() : Use.OpenedAt,
                          -static_cast<std::ptrdiff_t>(Use.HeldBytes));
      });
}

} // namespace filbertvane::decision::connections
