#include "Commands.h"
#include "SheetCheck.h"
#include "filbertvane/config/Publication.h"
#include "filbertvane/io/BlockingLog.h"
#include <fmt/format.h>
#include <random>

namespace filbertvane::program {

namespace {

/// Name of this run, unique so that its record is recognised in the log.
core::WriterId uniqueWriter() {
  std::random_device Source;
  return core::WriterId(
      fmt::format("publish-{:08x}{:08x}", Source(), Source()));
}

config::LogRecord recordOf(const config::Sheet &Wanted,
                           const config::FleetState &State,
                           const std::string &Operator, core::WallTime Now) {
  config::SheetPublished Body{Wanted.Base,
                              config::computeDelta(State.CurrentSheet, Wanted),
                              Operator, Now};
  return {uniqueWriter(), 1, std::move(Body)};
}

ExitCode printOutcome(const config::RecordOutcome &Outcome) {
  if (const auto *Success = std::get_if<config::Accepted>(&Outcome)) {
    fmt::print("accepted as version {}\n", Success->Version.value());
    return Done;
  }
  const auto *Refusal = std::get_if<config::Refused>(&Outcome);
  fmt::print(stderr, "refused: {}\n",
             Refusal ? core::toString(Refusal->Reason) : "seen before");
  return RefusedWithReason;
}

ExitCode printFailure(const core::Error &Failure) {
  fmt::print(stderr, "{}\n", core::toString(Failure));
  return RefusedWithReason;
}

} // namespace

ExitCode publish(const Arguments &Asked, const config::Settings &Configured) {
  io::BlockingLog Log(Configured.LogUrl, "config");
  auto Loaded = config::loadState(Log);
  if (!core::ok(Loaded))
    return printFailure(core::failure(Loaded));
  config::FleetState State = core::take(std::move(Loaded));
  const core::WallTime Now = wallNow();
  const auto Wanted = readSheet(Asked.SheetFile, &State, Now);
  if (!Wanted)
    return RefusedWithReason;
  const config::FleetState Before = State;
  const config::LogRecord Record =
      recordOf(*Wanted, State, Asked.Operator, Now);
  const auto Outcome = config::Publication(Log, State, Record).run();
  if (!core::ok(Outcome))
    return printFailure(core::failure(Outcome));
  const ExitCode Code = printOutcome(core::value(Outcome));
  if (Code == Done)
    printShortDeadlines(*Wanted, Before, Now);
  return Code;
}

} // namespace filbertvane::program
