#include "HttpFront.h"
#include <fmt/format.h>
#include <tclap/CmdLine.h>

using namespace filbertvane;

namespace {

struct Options {
  std::uint16_t Port = 0;
  tools::LogLimits Limits;
};

Options readOptions(int Count, char *Arguments[]) {
  TCLAP::CmdLine Line("Stand-in of the platform log, in memory", ' ', "0.1");
  Options Out;
  const tools::LogLimits Default;
  TCLAP::ValueArg<std::uint16_t> Port("", "port", "Port on 127.0.0.1", true, 0,
                                      "number", Line);
  TCLAP::ValueArg<std::size_t> Records("", "retention-records",
                                       "Records kept per stream", false,
                                       Default.RetainedRecords, "number", Line);
  TCLAP::ValueArg<std::int64_t> Retention(
      "", "retention-ms", "Time for which a record is kept", false,
      Default.Retention.count(), "milliseconds", Line);
  TCLAP::ValueArg<std::uint32_t> Appends(
      "", "appends-per-second", "Appends over all streams; 0 for no limit",
      false, Default.AppendsPerSecond, "number", Line);
  Line.parse(Count, Arguments);
  Out.Port = Port.getValue();
  Out.Limits = {Records.getValue(), core::Milliseconds(Retention.getValue()),
                Appends.getValue()};
  return Out;
}

} // namespace

int main(int Count, char *Arguments[]) {
  const Options Chosen = readOptions(Count, Arguments);
  io::EventLoop Loop;
  tools::LogService Service(Chosen.Limits);
  tools::HttpFront Front(Loop, Service);
  if (!Front.listen(Chosen.Port)) {
    fmt::print(stderr, "port {} cannot be bound\n", Chosen.Port);
    return 1;
  }
  Loop.onTerminate([&] { Loop.stop(); });
  Loop.run();
  return 0;
}
