#ifndef FILBERTVANE_TOOLS_FV_MOVES_RUN_H
#define FILBERTVANE_TOOLS_FV_MOVES_RUN_H

#include "Policy.h"

namespace filbertvane::moves {

/// What one move did to its callers.
struct MoveResult {
  Scenario Move;
  std::optional<FinalWord> Final;
  std::uint64_t Requests = 0;
  /// Answers of a bad version after its fault began.
  std::uint64_t BadVersionAnswers = 0;
  /// Bad answers of the new version until the evidence of all answers decided,
  /// or until a decision if that came first.
  std::uint64_t FaultsToDecide = 0;
  std::uint64_t FaultsInAll = 0;
  /// Time of the decisive answer.
  std::optional<core::Milliseconds> EvidentAt;
  /// Last request sent to the new version, on nodes that could be reached from
  /// the decisive answer on, and on the others.
  core::Milliseconds LastSent{0};
  core::Milliseconds LastSentCutOff{0};

  bool completedInTime() const;
  bool rolledBack() const { return Final && Final->RolledBack; }
  double badShare() const;
  core::Milliseconds msAfterEvident() const;
  /// The same in a data centre that was cut off; it has only its own evidence.
  core::Milliseconds msAfterEvidentCutOff() const;
};

/// Runs one move under a policy.
MoveResult run(const Scenario &Move, Policy &Decides);

} // namespace filbertvane::moves

#endif // FILBERTVANE_TOOLS_FV_MOVES_RUN_H
