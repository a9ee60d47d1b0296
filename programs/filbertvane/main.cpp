#include "Commands.h"
#include "Explain.h"
#include <fmt/format.h>

using namespace filbertvane;
using namespace filbertvane::program;

namespace {

ExitCode run(const Arguments &Asked, const config::Settings &Configured) {
  switch (Asked.Action) {
  case Command::Check:
    return check(Asked, Configured);
  case Command::Publish:
    return publish(Asked, Configured);
  case Command::Report:
    return report(Asked, Configured);
  case Command::Status:
    return status(Asked, Configured);
  }
  return Usage;
}

} // namespace

int main(int Count, char *Values[]) {
  if (Count > 1 && std::string_view(Values[1]) == "explain")
    return explain(Count, Values);
  ExitCode Code = Usage;
  const auto Asked = readArguments(Count, Values, Code);
  if (!Asked)
    return Code;
  const auto Loaded = config::loadSettings(
      Asked->SettingsFile, config::SettingsConsumer::CommandLine);
  if (const auto *Found = std::get_if<config::ErrorList>(&Loaded)) {
    for (const core::Error &Each : *Found)
      fmt::print(stderr, "{}\n", core::toString(Each));
    return RefusedWithReason;
  }
  return run(*Asked, std::get<config::Settings>(Loaded));
}
