#ifndef FILBERTVANE_DECISION_REQUEST_TARGETPICKER_H
#define FILBERTVANE_DECISION_REQUEST_TARGETPICKER_H

#include "filbertvane/config/Sheet.h"
#include "filbertvane/core/Random.h"
#include "filbertvane/decision/request/TargetTable.h"
#include <concepts>

namespace filbertvane::decision::request {

/// @brief What a picker selects from.
struct PickContext {
  /// Positions of the targets that may be selected.
  std::span<const TargetIndex> Members;
  std::span<const Target> Targets;
  /// Targets that this call already tried.
  std::span<const TargetIndex> Tried;
  config::TrafficKind Kind = config::TrafficKind::Interactive;
  core::TimePoint Now;

  bool wasTried(TargetIndex At) const;
};

/// @brief Selects a target among those of one version and locality.
template <typename P>
concept TargetPicker = requires(P &Picker, const PickContext &Context,
                                core::Random &Source) {
  { Picker.pick(Context, Source) } -> std::same_as<std::optional<TargetIndex>>;
};

/// @brief Better of two random targets by own outstanding requests and
///        observed latency.
struct PowerOfTwoChoices {
  std::optional<TargetIndex> pick(const PickContext &Context,
                                  core::Random &Source);
};

/// @brief Each target in turn.
struct RoundRobin {
  std::uint64_t Position = 0;
  std::optional<TargetIndex> pick(const PickContext &Context,
                                  core::Random &Source);
};

/// @brief Random among the targets with fewer outstanding requests than the
///        credits of each.
struct CreditScheme {
  std::uint32_t Credits = 4;
  std::optional<TargetIndex> pick(const PickContext &Context,
                                  core::Random &Source);
};

static_assert(TargetPicker<PowerOfTwoChoices>);
static_assert(TargetPicker<RoundRobin>);
static_assert(TargetPicker<CreditScheme>);

/// The picker of a node, set once at its start.
using AnyPicker = std::variant<PowerOfTwoChoices, RoundRobin, CreditScheme>;

/// @brief Expected cost of one more request at a target; lower is better.
double expectedCost(const Target &Candidate, config::TrafficKind Kind,
                    core::TimePoint Now);

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_TARGETPICKER_H
