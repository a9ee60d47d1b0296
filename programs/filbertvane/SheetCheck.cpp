#include "SheetCheck.h"
#include "filbertvane/config/TextFile.h"
#include "filbertvane/decision/rollout/Schedule.h"
#include <fmt/format.h>

namespace filbertvane::program {

namespace {

void printFaults(const config::ErrorList &Found) {
  for (const core::Error &Each : Found)
    fmt::print(stderr, "{}\n", core::toString(Each));
}

config::ValidationResult<config::Sheet> parse(const std::string &File,
                                              const config::FleetState *State,
                                              core::WallTime Now) {
  const auto Text =
      config::readTextFile(File, core::ErrorCode::SheetUnreadable);
  if (!core::ok(Text))
    return config::ErrorList{core::failure(Text)};
  return State ? config::parseSheet(core::value(Text), File, *State, Now)
               : config::parseSheet(core::value(Text), File);
}

bool hasCurrentBase(const config::Sheet &Wanted,
                    const config::FleetState &State) {
  if (Wanted.Base == State.SheetVersion)
    return true;
  const core::Error Stale{core::ErrorCode::SheetStaleBase,
                          fmt::format("base {}, version in force {}",
                                      Wanted.Base.value(),
                                      State.SheetVersion.value())};
  fmt::print(stderr, "{}\n", core::toString(Stale));
  return false;
}

} // namespace

std::optional<config::Sheet> readSheet(const std::string &File,
                                       const config::FleetState *State,
                                       core::WallTime Now) {
  auto Parsed = parse(File, State, Now);
  if (const auto *Found = std::get_if<config::ErrorList>(&Parsed)) {
    printFaults(*Found);
    return std::nullopt;
  }
  config::Sheet &Wanted = std::get<config::Sheet>(Parsed);
  if (State && !hasCurrentBase(Wanted, *State))
    return std::nullopt;
  return std::move(Wanted);
}

void printShortDeadlines(const config::Sheet &Wanted,
                         const config::FleetState &State, core::WallTime Now) {
  const config::SheetDelta Delta =
      config::computeDelta(State.CurrentSheet, Wanted);
  for (const config::ServiceSpec &Spec : Delta.ChangedServices) {
    if (!Spec.Move)
      continue;
    const core::Status Checked =
        decision::rollout::checkDeadline(*Spec.Move, Now);
    if (!core::ok(Checked))
      fmt::print("warning: service {}: {}\n", Spec.Name.value(),
                 core::toString(core::failure(Checked)));
  }
}

core::WallTime wallNow() {
  return std::chrono::time_point_cast<core::Milliseconds>(
      std::chrono::system_clock::now());
}

} // namespace filbertvane::program
