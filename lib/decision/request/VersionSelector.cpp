#include "filbertvane/decision/request/VersionSelector.h"

namespace filbertvane::decision::request {

bool VersionSelector::selectCandidate(config::Permille CandidateShare) {
  Accumulated += CandidateShare;
  if (Accumulated < config::FullShare)
    return false;
  Accumulated -= config::FullShare;
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
