#ifndef FILBERTVANE_DECISION_REQUEST_REDUCER_H
#define FILBERTVANE_DECISION_REQUEST_REDUCER_H

#include "filbertvane/decision/Step.h"
#include "filbertvane/decision/request/State.h"

namespace filbertvane::decision::request {

/// @brief Decides about one event.
///
/// Total: each event is accepted in each state; events about calls that ended
/// are ignored.
/// @param Before state, moved in
/// @param What the event
/// @param Now both clocks at the event
/// @return the next state and the effects, in the order to execute them
/// Complexity: constant in calls and targets on the usual path; linear in
/// targets and services for `ConfigurationChanged` and `EndpointsChanged`.
Step<State, Effects> reduce(State Before, const Event &What, core::Instant Now);

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_REDUCER_H
