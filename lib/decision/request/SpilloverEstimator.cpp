#include "filbertvane/decision/request/SpilloverEstimator.h"
#include <algorithm>

namespace filbertvane::decision::request {

namespace {

/// Weight of one observation.
constexpr double ObservationWeight = 1.0 / 64;
/// Share of refused requests at which the estimate is stable.
constexpr double StableRefusalRatio = 0.05;
/// Leaves some requests in the local data centre, to detect freed capacity.
constexpr double MaxShare = 0.95;

} // namespace

void SpilloverEstimator::recordRefused() {
  Share = std::min(MaxShare, Share + (1 - Share) * ObservationWeight);
}

void SpilloverEstimator::recordAccepted() {
  Share = std::max(0.0, Share - (1 - Share) * ObservationWeight *
                                    StableRefusalRatio);
}

bool SpilloverEstimator::spillNext() {
  Accumulated += Share;
  if (Accumulated < 1)
    return false;
  Accumulated -= 1;
  return true;
}

} // namespace filbertvane::decision::request
