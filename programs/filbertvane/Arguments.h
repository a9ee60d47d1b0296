#ifndef FILBERTVANE_PROGRAMS_FILBERTVANE_CLI_ARGUMENTS_H
#define FILBERTVANE_PROGRAMS_FILBERTVANE_CLI_ARGUMENTS_H

#include <optional>
#include <string>

namespace filbertvane::program {

/// Exit codes of the command line.
enum ExitCode { Done = 0, RefusedWithReason = 1, Usage = 2 };

enum class Command { Check, Publish, Report, Status };

/// @brief What the caller asked for.
struct Arguments {
  Command Action = Command::Check;
  std::string SettingsFile;
  std::string SheetFile;
  std::string Operator;
  bool Json = false;
};

/// @brief Reads the arguments; writes the usage when they are wrong.
/// @return the arguments, or the exit code when there is nothing to do
std::optional<Arguments> readArguments(int Count, char *Values[],
                                       ExitCode &Code);

} // namespace filbertvane::program

#endif // FILBERTVANE_PROGRAMS_FILBERTVANE_CLI_ARGUMENTS_H
