#ifndef FILBERTVANE_DECISION_REQUEST_TARGETPICKER_H
#define FILBERTVANE_DECISION_REQUEST_TARGETPICKER_H

#include "filbertvane/config/Sheet.h"
#include "filbertvane/core/Random.h"
#include "filbertvane/decision/request/TargetTable.h"
#include <concepts>

namespace filbertvane::decision::request {

/// @brief Input of a target picker.
struct PickContext {
  /// Indexes of the targets that may be selected.
  std::span<const TargetIndex> Members;
  std::span<const Target> Targets;
  /// Targets that this call already tried.
  std::span<const TargetIndex> Tried;
  config::TrafficKind Kind = config::TrafficKind::Interactive;
  core::TimePoint Now;

  bool wasTried(TargetIndex Index) const;
};

/// @brief Selects a target among those of one version and locality.
template <typename P>
concept TargetPicker = requires(P &Picker, const PickContext &Context,
                                core::Random &Rng) {
  { Picker.pick(Context, Rng) } -> std::same_as<std::optional<TargetIndex>>;
};

/// @brief Picks the target with the lower expected cost out of two random ones.
struct PowerOfTwoChoices {
  std::optional<TargetIndex> pick(const PickContext &Context,
                                  core::Random &Rng);
};

/// @brief Picks the targets in turn.
struct RoundRobin {
  std::uint64_t Position = 0;
  std::optional<TargetIndex> pick(const PickContext &Context,
                                  core::Random &Rng);
};

/// @brief Picks a random target that has fewer outstanding requests than
///        credits, or any target when there is none.
struct CreditScheme {
  std::uint32_t Credits = 4;
  std::optional<TargetIndex> pick(const PickContext &Context,
                                  core::Random &Rng);
};

static_assert(TargetPicker<PowerOfTwoChoices>);
static_assert(TargetPicker<RoundRobin>);
static_assert(TargetPicker<CreditScheme>);

/// Picker of a node, set at its start.
using AnyPicker = std::variant<PowerOfTwoChoices, RoundRobin, CreditScheme>;

/// @brief Expected cost of one more request at a target.
double expectedCost(const Target &Candidate, config::TrafficKind Kind,
                    core::TimePoint Now);

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_TARGETPICKER_H
