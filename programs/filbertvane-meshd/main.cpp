#include "filbertvane/config/TextFile.h"
#include "filbertvane/io/mesh/MeshProcess.h"
#include "platform/SettingsFile.h"
#include "platform/Store.h"
#include "platform/Surroundings.h"
#include <cstdlib>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

using namespace filbertvane;

namespace {

constexpr int Refused = 1;
constexpr int Usage = 2;
/// Settings that changed without a signal are noticed within this time.
constexpr core::Milliseconds ReloadPeriod{1000};
/// Idle connections to peers and to the target; a node sends to its target and
/// to few hosts at a time, and each connection takes memory on both sides.
constexpr std::uint32_t IdleConnections = 64;
/// Time to open a connection; the longest way takes 41 ms, and a lost packet
/// is sent again after a second.
constexpr core::Milliseconds ConnectTimeout{400};

std::optional<std::string> settingsFile(int Count, char *Values[]) {
  const char *Usual = std::getenv(platform::SettingsVariable);
  try {
    TCLAP::CmdLine Line("Node of filbertvane on the platform", ' ', "0.1.0");
    Line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> File(
        "", "settings", "settings file; FILBERTVANE_CONFIG names it otherwise",
        false, Usual == nullptr ? "" : Usual, "FILE", Line);
    Line.parse(Count, Values);
    if (!File.getValue().empty())
      return File.getValue();
    fmt::print(stderr, "no settings file: set {} or --settings\n",
               platform::SettingsVariable);
  } catch (const TCLAP::ArgException &Fault) {
    fmt::print(stderr, "{} {}\nusage: filbertvane-meshd [--settings FILE]\n",
               Fault.error(), Fault.argId());
  } catch (const TCLAP::ExitException &) {
  }
  return std::nullopt;
}

core::Result<platform::NodeSettings> load(const std::string &File) {
  const auto Text =
      config::readTextFile(File, core::ErrorCode::SettingsUnreadable);
  if (!core::ok(Text))
    return core::failure(Text);
  return platform::parseSettings(core::value(Text));
}

/// @brief Reads the settings again on a signal and once in a while.
class Reloader {
public:
  Reloader(io::EventLoop &Loop, io::mesh::MeshProcess &Node, std::string File)
      : Loop(Loop), Node(Node), File(std::move(File)),
        Again(Loop, [this] { look(); }) {
    Loop.onHangUp([this] { look(); });
    Again.arm(Loop.now().Mono + ReloadPeriod);
  }

private:
  void look() {
    const auto Read = load(File);
    if (core::ok(Read))
      Node.reload(core::value(Read).Place);
    else
      fmt::print(stderr, "settings not taken: {}\n",
                 core::toString(core::failure(Read)));
    Again.arm(Loop.now().Mono + ReloadPeriod);
  }

  io::EventLoop &Loop;
  io::mesh::MeshProcess &Node;
  std::string File;
  io::Timer Again;
};

} // namespace

int main(int Count, char *Values[]) {
  const auto File = settingsFile(Count, Values);
  if (!File)
    return Usage;
  const auto Settings = load(*File);
  if (!core::ok(Settings)) {
    fmt::print(stderr, "{}\n", core::toString(core::failure(Settings)));
    return Refused;
  }
  io::EventLoop Loop;
  const auto Http =
      io::HttpClient::create(Loop, {IdleConnections, ConnectTimeout});
  platform::Store Store(Loop, *Http, core::value(Settings).Store);
  const auto Node = io::mesh::MeshProcess::create(
      Loop, *Http, core::value(Settings).Place,
      std::make_shared<const platform::Surroundings>(), Store);
  if (!core::ok(Node)) {
    fmt::print(stderr, "{}\n", core::toString(core::failure(Node)));
    return Refused;
  }
  Loop.onTerminate([&] { core::value(Node)->drain(); });
  const Reloader Reload(Loop, *core::value(Node), *File);
  Loop.run();
  return 0;
}
