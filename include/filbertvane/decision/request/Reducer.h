#ifndef FILBERTVANE_DECISION_REQUEST_REDUCER_H
#define FILBERTVANE_DECISION_REQUEST_REDUCER_H

#include "filbertvane/decision/Step.h"
#include "filbertvane/decision/request/State.h"

namespace filbertvane::decision::request {

/// @brief Applies one event to the state.
///
/// Every event is accepted in every state; events of calls that ended are
/// ignored.
/// @param Current state before the event, moved in
/// @param What the event
/// @param Now monotonic and wall clock time of the event
/// @return the next state and the effects, in the order to execute them
/// Complexity: usually independent of the number of calls and targets; linear
/// in targets and services for `ConfigurationChanged` and `EndpointsChanged`.
Step<State, Effects> reduce(State Current, const Event &Input,
                            core::Instant Now);

} // namespace filbertvane::decision::request

#endif // FILBERTVANE_DECISION_REQUEST_REDUCER_H
