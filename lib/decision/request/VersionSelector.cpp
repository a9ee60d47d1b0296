#include "filbertvane/decision/request/VersionSelector.h"

namespace filbertvane::decision::request {

bool VersionSelector::selectCandidate(config::Permille CandidateShare) {
  Accumulator += CandidateShare;
  if (Accumulator < config::FullShare)
    return false;
  Accumulator -= config::FullShare;
  return true;
}

config::Permille eligibleShare(config::Permille Share, bool Idempotent,
                               bool HasIdempotentRoute) {
  const bool Unproven = Share <= CanaryShare;
  if (!Idempotent && HasIdempotentRoute && Unproven)
    return 0;
  return Share;
}

} // namespace filbertvane::decision::request
