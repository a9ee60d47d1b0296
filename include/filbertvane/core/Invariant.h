#ifndef FILBERTVANE_CORE_INVARIANT_H
#define FILBERTVANE_CORE_INVARIANT_H

namespace filbertvane::core {

/// @brief Stops the process when a condition that the code guarantees is false.
/// @param Holds the condition
/// @param What the invariant, for the last log line
void invariant(bool Holds, const char *What);

} // namespace filbertvane::core

#endif // FILBERTVANE_CORE_INVARIANT_H
