#include "filbertvane/config/Report.h"
#include "Commands.h"
#include "SheetCheck.h"
#include "filbertvane/config/Publication.h"
#include "filbertvane/io/BlockingLog.h"
#include <fmt/format.h>

namespace filbertvane::program {

namespace {

constexpr core::Milliseconds StatusTimeout{3000};

} // namespace

ExitCode report(const Arguments &Asked, const config::Settings &Configured) {
  io::BlockingLog Log(Configured.LogUrl, "config");
  const auto State = config::loadState(Log);
  if (!core::ok(State)) {
    fmt::print(stderr, "{}\n", core::toString(core::failure(State)));
    return RefusedWithReason;
  }
  const auto Write = Asked.Json ? &config::reportJson : &config::reportText;
  fmt::print("{}", Write(core::value(State), wallNow()));
  return Done;
}

ExitCode status(const Arguments &, const config::Settings &Configured) {
  if (Configured.Listen.Admin.empty()) {
    fmt::print(stderr, "the settings do not state listen.admin\n");
    return RefusedWithReason;
  }
  const std::string Url =
      fmt::format("http://{}/status", Configured.Listen.Admin);
  const io::BlockingAnswer Answer = io::blockingGet(Url, StatusTimeout);
  if (Answer.Status != 200) {
    fmt::print(stderr, "{}: {}\n", Url,
               Answer.Status == 0 ? "no answer"
                                  : fmt::format("status {}", Answer.Status));
    return RefusedWithReason;
  }
  fmt::print("{}\n", Answer.Body);
  return Done;
}

} // namespace filbertvane::program
