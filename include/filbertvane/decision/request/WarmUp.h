#ifndef FILBERTVANE_DECISION_REQUEST_WARMUP_H
#define FILBERTVANE_DECISION_REQUEST_WARMUP_H

#include "filbertvane/core/Time.h"

namespace filbertvane::decision::request {

/// Time after which a new target receives its full share of requests.
inline constexpr core::Seconds WarmUpTime{10};
/// Initial share of a target that was just announced.
inline constexpr double InitialShare = 0.1;

/// @brief Fraction of its full share that a target receives, from
///        `InitialShare` to 1.
double warmUpShare(core::TimePoint Since, core::TimePoint Now);

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_WARMUP_H
