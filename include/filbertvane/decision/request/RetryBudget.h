#ifndef FILBERTVANE_DECISION_REQUEST_RETRYBUDGET_H
#define FILBERTVANE_DECISION_REQUEST_RETRYBUDGET_H

#include <cstdint>

namespace filbertvane::decision::request {

/// @brief Budget for retries of one service, refilled by successful requests.
///
/// A fixed number of retries per call multiplies the load of a service that is
/// already overloaded; the budget limits retries to a tenth of the successes.
class RetryBudget {
public:
  /// Thousandths of a retry that are added per success.
  static constexpr std::uint32_t ThousandthsPerSuccess = 100;
  /// Maximum number of available retries.
  static constexpr std::uint32_t MaxRetries = 10;

  void recordSuccess();
  /// @brief Consumes one retry.
  /// @return false when the budget is exhausted
  bool tryConsume();
  std::uint32_t available() const { return Thousandths / 1000; }

private:
  std::uint32_t Thousandths = MaxRetries * 1000;
};

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_RETRYBUDGET_H
