#ifndef FILBERTVANE_DECISION_REQUEST_SPILLOVERESTIMATOR_H
#define FILBERTVANE_DECISION_REQUEST_SPILLOVERESTIMATOR_H

namespace filbertvane::decision::request {

/// @brief Estimates which part of a service's requests the near targets cannot
///        take, so that only this part goes to farther ones.
///
/// Load refusals of near targets raise the spilled share and answers lower it.
/// It settles where one in 20 requests sent to near targets is refused: that
/// keeps the near targets full, and the refused part fits the retry budget.
class SpilloverEstimator {
public:
  /// @brief A near target refused for load.
  void recordRefused();
  /// @brief A near target took a request.
  void recordAccepted();
  /// @brief Whether the next request skips the near targets.
  bool spillNext();
  /// @brief Spilled share, 0 to 1.
  double share() const { return Share; }

private:
  double Share = 0;
  double Accumulated = 0;
};

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_SPILLOVERESTIMATOR_H
