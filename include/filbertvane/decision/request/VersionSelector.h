#ifndef FILBERTVANE_DECISION_REQUEST_VERSIONSELECTOR_H
#define FILBERTVANE_DECISION_REQUEST_VERSIONSELECTOR_H

#include "filbertvane/config/LogRecord.h"

namespace filbertvane::decision::request {

/// Largest share at which a candidate is considered unproven (docs/design.md,
/// 7).
inline constexpr config::Permille CanaryShare = 50;

/// @brief Smooth weighted selection between the stable and the candidate
/// version.
///
/// Each request adds the share to an accumulator; the candidate is selected
/// when the accumulator reaches 1000. This spreads its requests evenly: in each
/// window of n requests their number differs from n * share by less than one.
class VersionSelector {
public:
  /// @param Phase initial value of the accumulator, below 1000; different on
  ///        each node so that nodes do not select the candidate simultaneously
  explicit VersionSelector(config::Permille Phase = 0) : Accumulator(Phase) {}

  /// @brief Returns true when the next request goes to the candidate.
  bool selectCandidate(config::Permille CandidateShare);

private:
  std::uint32_t Accumulator;
};

/// @brief Candidate share that applies to a request; 0 when the request must
///        not be sent to an unproven candidate.
/// @param Share share in force, 0 after a rollback
/// @param Idempotent whether the request is idempotent
/// @param HasIdempotentRoute whether the service has an idempotent route
config::Permille eligibleShare(config::Permille Share, bool Idempotent,
                               bool HasIdempotentRoute);

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_VERSIONSELECTOR_H
