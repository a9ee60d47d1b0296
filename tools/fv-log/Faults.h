#ifndef FILBERTVANE_TOOLS_FV_LOG_FAULTS_H
#define FILBERTVANE_TOOLS_FV_LOG_FAULTS_H

#include "filbertvane/core/Random.h"
#include "filbertvane/core/Time.h"
#include <optional>
#include <string>

namespace filbertvane::tools {

/// @brief Fault that the log shows on request.
enum class FaultMode {
  None,
  /// Connections close without an answer and without an effect.
  Outage,
  /// Answers are delayed; an append takes effect at once.
  Slow,
  /// Appends take effect, then the connection closes without an answer.
  LoseAcknowledgement,
};

/// @brief Fault and the share of requests that it concerns.
struct FaultPlan {
  FaultMode Mode = FaultMode::None;
  core::Milliseconds Delay{0};
  double Rate = 1;
};

/// @brief Reads `{"mode":..., "delay_ms":..., "rate":...}`.
/// @return none when the text is not such an object
std::optional<FaultPlan> parseFaults(const std::string &Text);

/// @brief Decides by a seeded generator which requests a fault concerns.
class FaultDice {
public:
  FaultPlan Plan;

  bool strikes(FaultMode Mode) {
    return Plan.Mode == Mode && Dice.unit() < Plan.Rate;
  }

private:
  core::Random Dice{1};
};

} // namespace filbertvane::tools

#endif // FILBERTVANE_TOOLS_FV_LOG_FAULTS_H
