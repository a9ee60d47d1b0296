#ifndef FILBERTVANE_PROGRAMS_FILBERTVANE_CLI_EXPLAIN_H
#define FILBERTVANE_PROGRAMS_FILBERTVANE_CLI_EXPLAIN_H

#include "Arguments.h"

namespace filbertvane::program {

/// @brief Prints the way of a request from the logs of processes; needs no
///        settings.
ExitCode explain(int Count, char *Values[]);

} // namespace filbertvane::program

#endif // FILBERTVANE_PROGRAMS_FILBERTVANE_CLI_EXPLAIN_H
