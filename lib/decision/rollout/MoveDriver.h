#ifndef FILBERTVANE_LIB_DECISION_ROLLOUT_MOVEDRIVER_H
#define FILBERTVANE_LIB_DECISION_ROLLOUT_MOVEDRIVER_H

#include "filbertvane/decision/rollout/Controller.h"

namespace filbertvane::decision::rollout {

/// @brief Drives one move under the lease.
class MoveDriver {
public:
  MoveDriver(ControllerState &State, const config::MoveStatus &Move,
             core::Instant Now, ControllerEffects &Out)
      : S(State), Move(Move), Context(State.MoveContexts[Move.Id]), Now(Now),
        Out(Out) {}

  /// @brief Takes over the fleet state, judges, and appends what is due.
  void drive();

private:
  void syncWithFleet();
  void evaluate();
  void raiseSuspicion(const config::MoveDecision &Why);
  void withdraw(const config::MoveDecision &Why, bool Proven);
  void advance();
  void rollBack();
  void resolveSuspicion();
  void complete();
  void step();
  void monitorCompleted();
  bool mayAppend() const;
  bool isOldVersionHealthy(const MoveCounts &Total) const;
  void append(const config::RecordBody &Body, observe::EventId Event,
              const std::string &Detail);
  void logOnce(observe::EventId Event, const std::string &Detail);
  ReadySlots slots() const;

  ControllerState &S;
  const config::MoveStatus &Move;
  MoveContext &Context;
  core::Instant Now;
  ControllerEffects &Out;
  RouteFinding LatestFinding;
};

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_LIB_DECISION_ROLLOUT_MOVEDRIVER_H
