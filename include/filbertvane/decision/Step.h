#ifndef FILBERTVANE_DECISION_STEP_H
#define FILBERTVANE_DECISION_STEP_H

namespace filbertvane::decision {

/// @brief What a reducer returns: the next state, and effects as data.
template <typename State, typename Effects> struct Step {
  State NextState;
  Effects EmittedEffects;
};

} // namespace filbertvane::decision

#endif // FILBERTVANE_DECISION_STEP_H
