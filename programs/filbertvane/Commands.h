#ifndef FILBERTVANE_PROGRAMS_FILBERTVANE_CLI_COMMANDS_H
#define FILBERTVANE_PROGRAMS_FILBERTVANE_CLI_COMMANDS_H

#include "Arguments.h"
#include "filbertvane/config/Settings.h"

namespace filbertvane::program {

/// @name Commands; each prints its result or the reasons of its refusal
/// @{
ExitCode check(const Arguments &Asked, const config::Settings &Configured);
ExitCode publish(const Arguments &Asked, const config::Settings &Configured);
ExitCode report(const Arguments &Asked, const config::Settings &Configured);
ExitCode status(const Arguments &Asked, const config::Settings &Configured);
/// @}

} // namespace filbertvane::program

#endif // FILBERTVANE_PROGRAMS_FILBERTVANE_CLI_COMMANDS_H
