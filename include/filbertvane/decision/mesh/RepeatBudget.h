#ifndef FILBERTVANE_DECISION_MESH_REPEATBUDGET_H
#define FILBERTVANE_DECISION_MESH_REPEATBUDGET_H

#include "filbertvane/core/Time.h"
#include <array>
#include <cstdint>

namespace filbertvane::decision::mesh {

/// @brief Budget of repeated sends that all nodes share.
struct BudgetTerms {
  /// Repeats for each request of a window.
  double Ratio = 0;
  /// Repeats of all nodes together that are free in a window.
  double Slack = 0;
  core::Milliseconds Window{0};

  friend auto operator<=>(const BudgetTerms &, const BudgetTerms &) = default;
};

/// @brief Part of one node in the budget of one service.
///
/// No message is exchanged for it: a node spends the ratio of its own requests
/// and an equal part of the slack, so that the sum over the nodes stays within
/// the budget whatever each of them sees.
class RepeatBudget {
public:
  explicit RepeatBudget(const BudgetTerms &Terms) : Terms(Terms) {}

  /// @brief A request of the service came in.
  void noteRequest(core::TimePoint Now);
  /// @brief A target was reached again outside of `take`.
  void noteRepeat(core::TimePoint Now);
  /// @brief Takes one repeat; false when the part of this node is used up.
  /// @param Nodes nodes that share the budget
  bool take(std::size_t Nodes, core::TimePoint Now);

  /// @brief Repeats that are left of the part of this node.
  double left(std::size_t Nodes, core::TimePoint Now) const;

private:
  static constexpr std::size_t Slices = 10;
  struct Slice {
    std::int64_t Number = -1;
    std::uint32_t Requests = 0;
    std::uint32_t Repeats = 0;
  };

  Slice &at(core::TimePoint Now);
  std::int64_t numberOf(core::TimePoint Now) const;

  BudgetTerms Terms;
  std::array<Slice, Slices> Ring;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_REPEATBUDGET_H
