#ifndef FILBERTVANE_DECISION_STEP_H
#define FILBERTVANE_DECISION_STEP_H

namespace filbertvane::decision {

/// @brief Result of a reducer: the next state and the effects to carry out.
template <typename State, typename Effects> struct Step {
  State NextState;
  Effects EmittedEffects;
};

} // namespace filbertvane::decision

#endif // FILBERTVANE_DECISION_STEP_H
