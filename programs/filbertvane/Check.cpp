#include "Commands.h"
#include "SheetCheck.h"
#include "filbertvane/config/Publication.h"
#include "filbertvane/io/BlockingLog.h"
#include <fmt/format.h>

namespace filbertvane::program {

ExitCode check(const Arguments &Asked, const config::Settings &Configured) {
  const core::WallTime Now = wallNow();
  // The sheet by itself first: its faults need no log.
  if (!readSheet(Asked.SheetFile, nullptr, Now))
    return RefusedWithReason;
  io::BlockingLog Log(Configured.LogUrl, "config");
  const auto State = config::loadState(Log);
  if (!core::ok(State)) {
    fmt::print(stderr,
               "{}; the sheet was not checked against the current "
               "one\n",
               core::toString(core::failure(State)));
    return RefusedWithReason;
  }
  const auto Wanted = readSheet(Asked.SheetFile, &core::value(State), Now);
  if (!Wanted)
    return RefusedWithReason;
  printShortDeadlines(*Wanted, core::value(State), Now);
  fmt::print("valid on sheet version {}\n", Wanted->Base.value());
  return Done;
}

} // namespace filbertvane::program
