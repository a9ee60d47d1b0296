#ifndef FILBERTVANE_DECISION_REQUEST_RETRYBUDGET_H
#define FILBERTVANE_DECISION_REQUEST_RETRYBUDGET_H

#include <cstdint>

namespace filbertvane::decision::request {

/// @brief Retries that a service may cost, refilled by its successes.
///
/// A fixed number of retries per call multiplies load exactly when a service
/// is overloaded; a budget bounds it to a tenth of the successes.
class RetryBudget {
public:
  /// Thousandths of a retry that one success earns.
  static constexpr std::uint32_t ThousandthsPerSuccess = 100;
  /// Most retries that can be saved.
  static constexpr std::uint32_t MaxRetries = 10;

  void recordSuccess();
  /// @brief Takes one retry; false when the budget is used up.
  bool tryConsume();
  std::uint32_t available() const { return Thousandths / 1000; }

private:
  std::uint32_t Thousandths = MaxRetries * 1000;
};

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_RETRYBUDGET_H
