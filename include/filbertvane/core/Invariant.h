#ifndef FILBERTVANE_CORE_INVARIANT_H
#define FILBERTVANE_CORE_INVARIANT_H

namespace filbertvane::core {

/// @brief Logs an error and aborts the process if an invariant does not hold.
/// @param Description the invariant, for the log line
void invariant(bool Condition, const char *Description);

} // namespace filbertvane::core

#endif // FILBERTVANE_CORE_INVARIANT_H
