#include "filbertvane/decision/request/SpilloverEstimator.h"
#include <algorithm>

namespace filbertvane::decision::request {

namespace {

/// Weight of one observation.
constexpr double Gain = 1.0 / 64;
/// Refusals of near targets at which the share stays as it is.
constexpr double RefusalsToHold = 0.05;
/// Keeps some requests near, so that freed capacity is noticed.
constexpr double LargestShare = 0.95;

} // namespace

void SpilloverEstimator::recordRefused() {
  Share = std::min(LargestShare, Share + (1 - Share) * Gain);
}

void SpilloverEstimator::recordAccepted() {
  Share = std::max(0.0, Share - (1 - Share) * Gain * RefusalsToHold);
}

bool SpilloverEstimator::spillNext() {
  Accumulated += Share;
  if (Accumulated < 1)
    return false;
  Accumulated -= 1;
  return true;
}

} // namespace filbertvane::decision::request
