#ifndef FILBERTVANE_DECISION_REQUEST_SPILLOVERESTIMATOR_H
#define FILBERTVANE_DECISION_REQUEST_SPILLOVERESTIMATOR_H

namespace filbertvane::decision::request {

/// @brief Estimates the share of a service's requests that exceeds the capacity
///        of the targets in the local data centre; only this share is sent to
///        other data centres.
///
/// Refusals by these targets raise the share and answers lower it. It converges
/// to the point where one in 20 requests sent to them is refused: this keeps
/// them fully used, and the retry budget covers the refusals.
class SpilloverEstimator {
public:
  /// @brief Records that a target of the local data centre refused a request.
  void recordRefused();
  /// @brief Records that a target of the local data centre ran a request.
  void recordAccepted();
  /// @brief Returns true when the next request skips the local data centre.
  bool spillNext();
  /// @brief Share of requests that skip the local data centre, 0 to 1.
  double share() const { return Share; }

private:
  double Share = 0;
  double Accumulated = 0;
};

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_SPILLOVERESTIMATOR_H
