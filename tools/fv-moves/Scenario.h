#ifndef FILBERTVANE_TOOLS_FV_MOVES_SCENARIO_H
#define FILBERTVANE_TOOLS_FV_MOVES_SCENARIO_H

#include "filbertvane/config/LogRecord.h"
#include "filbertvane/core/Random.h"
#include <optional>
#include <string>

namespace filbertvane::moves {

/// What is the matter with a move's new version, or with its surroundings.
enum class Kind {
  Good,
  ColdStart,
  SlowLink,
  SharedFault,
  CrashingRequests,
  FailsAtOnce,
  FailsLater,
  FailsUnderLoad,
  FailsOnOneRoute,
  IsSlow,
};

/// What happens to the fleet during a move.
enum class Trouble { None, CoordinatorKilled, DataCentreCutOff, LogDown };

inline constexpr int DataCentres = 6;
inline constexpr int NodesPerDataCentre = 3;
inline constexpr int Nodes = DataCentres * NodesPerDataCentre;

/// One seeded move.
struct Scenario {
  std::uint64_t Seed = 0;
  Kind What = Kind::Good;
  Trouble With = Trouble::None;
  double RequestsPerSecond = 20;
  core::Seconds Length{600};
  /// Part of the answers that are bad while the fault lasts.
  double BadRate = 1;
  /// Part of the answers that fail in any version at any time.
  double Background = 0.001;
  core::Milliseconds FaultFrom{0};
  core::Milliseconds FaultUntil{0};
  /// Share from which a version fails under load.
  config::Permille LoadShare = 0;
  core::Milliseconds TroubleFrom{0};
  core::Milliseconds TroubleUntil{0};
  int CutDataCentre = 0;

  bool isBad() const { return What >= Kind::FailsAtOnce; }
  bool isCutOff(int DataCentre, core::Milliseconds Now) const;
  bool isLogDown(core::Milliseconds Now) const;
  /// Whether the new version is faulty now, for any route.
  bool isFaulty(core::Milliseconds Now, config::Permille Share) const;
};

const char *nameOf(Kind What);

/// The move with this number; its kind follows from the number, so that each
/// kind occurs equally often.
Scenario scenarioOf(std::uint64_t Seed, int Number);

} // namespace filbertvane::moves

#endif // FILBERTVANE_TOOLS_FV_MOVES_SCENARIO_H
