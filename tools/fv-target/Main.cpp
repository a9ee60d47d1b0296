#include "Target.h"
#include <fmt/format.h>
#include <tclap/CmdLine.h>

using namespace filbertvane;

namespace {

tools::TargetOptions parse(int Count, char *Arguments[]) {
  using TCLAP::ValueArg;
  TCLAP::CmdLine Line("Target stand-in for tests and measures", ' ', "0.1",
                      false);
  ValueArg<std::uint16_t> Port("", "port", "port, 0 for a free one", false, 0,
                               "PORT", Line);
  ValueArg<std::string> Admin("", "admin", "admin address of the node", false,
                              "", "IP:PORT", Line);
  ValueArg<std::string> Service("", "service", "service name", false, "booking",
                                "NAME", Line);
  ValueArg<std::string> Version("", "version", "target version", false, "1",
                                "LABEL", Line);
  ValueArg<std::uint32_t> Slots("", "slots", "concurrent requests", false, 18,
                                "N", Line);
  ValueArg<int> ServiceMs("", "service-ms", "duration of a request", false, 0,
                          "MS", Line);
  ValueArg<int> ColdMs("", "cold-start-ms", "span of slow requests", false, 0,
                       "MS", Line);
  ValueArg<std::uint64_t> Seed("", "seed", "seed of failures", false, 1, "N",
                               Line);
  ValueArg<double> FailRate("", "fail-rate", "share of 500 answers", false, 0.,
                            "SHARE", Line);
  ValueArg<std::string> FailPath("", "fail-path", "faults only below a path",
                                 false, "", "PREFIX", Line);
  ValueArg<int> FailAfter("", "fail-after-s", "faults only after a time", false,
                          0, "S", Line);
  ValueArg<std::uint32_t> FailAbove(
      "", "fail-above", "faults only above a concurrency", false, 0, "N", Line);
  ValueArg<int> ExtraMs("", "extra-ms", "added duration of a fault", false, 0,
                        "MS", Line);
  ValueArg<std::string> Crash("", "crash-header",
                              "a request with this header ends the process",
                              false, "", "NAME", Line);
  TCLAP::SwitchArg Misreport("", "misreport",
                             "report no load and twice the slots", Line);
  Line.parse(Count, Arguments);
  return {Port.getValue(),
          Admin.getValue(),
          Service.getValue(),
          Version.getValue(),
          Slots.getValue(),
          core::Milliseconds(ServiceMs.getValue()),
          core::Milliseconds(ColdMs.getValue()),
          Seed.getValue(),
          FailRate.getValue(),
          FailPath.getValue(),
          core::Seconds(FailAfter.getValue()),
          FailAbove.getValue(),
          core::Milliseconds(ExtraMs.getValue()),
          Crash.getValue(),
          Misreport.getValue()};
}

} // namespace

int main(int Count, char *Arguments[]) {
  io::EventLoop Loop;
  tools::Target Target(Loop, parse(Count, Arguments));
  const core::Status Opened = Target.open();
  if (!core::ok(Opened)) {
    fmt::print(stderr, "{}\n", core::toString(core::failure(Opened)));
    return 1;
  }
  Loop.onTerminate([&Target] { Target.drain(); });
  fmt::print("listening {}\n", Target.port());
  std::fflush(stdout);
  Loop.run();
  fmt::print("{}\n", Target.summaryJson());
  return 0;
}
