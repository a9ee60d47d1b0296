#ifndef FILBERTVANE_LIB_DECISION_ROLLOUT_MOVEDRIVER_H
#define FILBERTVANE_LIB_DECISION_ROLLOUT_MOVEDRIVER_H

#include "filbertvane/decision/rollout/Controller.h"

namespace filbertvane::decision::rollout {

/// @brief Advances or rolls back one move at the holder of the lease.
class MoveDriver {
public:
  MoveDriver(ControllerState &Controller, const config::MoveStatus &Move,
             core::Instant Now, ControllerEffects &Effects)
      : State(Controller), Move(Move),
        Context(Controller.MoveContexts[Move.Id]), Now(Now), Effects(Effects) {}

  /// @brief Evaluates the evidence and appends the record that is due.
  void drive();

private:
  void syncWithFleet();
  void evaluate();
  void raiseSuspicion(const config::MoveDecision &Verdict);
  void withdraw(const config::MoveDecision &Verdict, bool Proven);
  void advance();
  void rollBack();
  void resolveSuspicion();
  void complete();
  void step();
  void monitorCompleted();
  bool mayAppend() const;
  bool isOldVersionHealthy(const MoveCounts &Total) const;
  void append(const config::RecordBody &Record, observe::EventId Event,
              const std::string &Detail);
  void logOnce(observe::EventId Event, const std::string &Detail);
  ReadySlots readySlots() const;

  ControllerState &State;
  const config::MoveStatus &Move;
  MoveContext &Context;
  core::Instant Now;
  ControllerEffects &Effects;
  RouteFinding LatestFinding;
};

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_LIB_DECISION_ROLLOUT_MOVEDRIVER_H
