#ifndef FILBERTVANE_DECISION_REQUEST_VERSIONSELECTOR_H
#define FILBERTVANE_DECISION_REQUEST_VERSIONSELECTOR_H

#include "filbertvane/config/LogRecord.h"

namespace filbertvane::decision::request {

/// Share up to which a candidate counts as unproven (docs/design.md, 7).
inline constexpr config::Permille CanaryShare = 50;

/// @brief Smooth weighted selection between two versions.
///
/// Each request adds the share to an accumulator; the candidate is selected
/// when it passes 1000. The candidate's requests are spread evenly: in each
/// window of n requests their number differs from n * share by less than one.
class VersionSelector {
public:
  /// @param Phase start value, below 1000; different on each node, so that the
  ///        nodes do not send to the candidate at the same time
  explicit VersionSelector(config::Permille Phase = 0) : Accumulated(Phase) {}

  /// @brief Whether the next request goes to the candidate.
  bool selectCandidate(config::Permille CandidateShare);

private:
  std::uint32_t Accumulated;
};

/// @brief Share of the candidate that a request may take part in.
/// @param Share share in force, 0 after a rollback
/// @param Idempotent whether the request is idempotent
/// @param HasIdempotentRoute whether the service has an idempotent route
config::Permille eligibleShare(config::Permille Share, bool Idempotent,
                               bool HasIdempotentRoute);

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_VERSIONSELECTOR_H
