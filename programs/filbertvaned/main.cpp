#include "filbertvane/io/NodeProcess.h"
#include "filbertvane/observe/LogEvent.h"
#include <fmt/format.h>
#include <tclap/CmdLine.h>

using namespace filbertvane;

namespace {

constexpr int Refused = 1;
constexpr int Usage = 2;

std::optional<std::string> settingsFile(int Count, char *Values[]) {
  try {
    TCLAP::CmdLine Line("Node of filbertvane", ' ', "0.1.0");
    Line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> File("", "settings", "settings file (YAML)",
                                      true, "", "FILE", Line);
    Line.parse(Count, Values);
    return File.getValue();
  } catch (const TCLAP::ArgException &Fault) {
    fmt::print(stderr, "{} {}\nusage: filbertvaned --settings FILE\n",
               Fault.error(), Fault.argId());
  } catch (const TCLAP::ExitException &) {
  }
  return std::nullopt;
}

} // namespace

int main(int Count, char *Values[]) {
  const auto File = settingsFile(Count, Values);
  if (!File)
    return Usage;
  const auto Loaded =
      config::loadSettings(*File, config::SettingsConsumer::Node);
  if (const auto *Found = std::get_if<config::ErrorList>(&Loaded)) {
    for (const core::Error &Each : *Found)
      fmt::print(stderr, "{}\n", core::toString(Each));
    return Refused;
  }
  io::EventLoop Loop;
  auto Node = io::NodeProcess::create(Loop, std::get<config::Settings>(Loaded));
  if (!core::ok(Node)) {
    fmt::print(stderr, "{}\n", core::toString(core::failure(Node)));
    return Refused;
  }
  Loop.onTerminate([&] { core::value(Node)->drain(); });
  Loop.run();
  observe::writeLog({observe::EventId::ProcessStopped, ""});
  return 0;
}
