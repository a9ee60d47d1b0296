#include "InstanceStandIn.h"
#include "StoreStandIn.h"
#include "filbertvane/config/TextFile.h"
#include "platform/SettingsFile.h"
#include "platform/StoreFormat.h"
#include <fmt/format.h>
#include <tclap/CmdLine.h>

using namespace filbertvane;

namespace {

constexpr int Refused = 1;
constexpr int Usage = 2;

struct Words {
  std::string Role;
  std::string Store;
  std::string Settings;
  std::string Key;
  std::string File;
  std::string Version;
  unsigned Slots = 4;
  int WorkMs = 20;
  bool PrintsRuns = false;
};

Words parse(int Count, char *Values[]) {
  using TCLAP::ValueArg;
  TCLAP::CmdLine Line("Stand-in of the users' platform: its store, an instance "
                      "beside a node, and the operator",
                      ' ', "0.1.0");
  TCLAP::UnlabeledValueArg<std::string> Role("role", "store, instance or put",
                                             true, "", "ROLE", Line);
  ValueArg<std::string> Store("", "store", "address of the store", false, "",
                              "IP:PORT", Line);
  ValueArg<std::string> Settings("", "settings", "settings file of the node",
                                 false, "", "FILE", Line);
  ValueArg<std::string> Key("", "key", "key that the operator writes", false,
                            "config", "KEY", Line);
  ValueArg<std::string> File("", "file", "value that the operator writes",
                             false, "", "FILE", Line);
  ValueArg<std::string> Version("", "instance-version",
                                "version of the instance", false, "v1", "TEXT",
                                Line);
  ValueArg<unsigned> Slots("", "slots", "requests run at a time", false, 4, "N",
                           Line);
  ValueArg<int> WorkMs("", "work-ms", "time of a request", false, 20, "MS",
                       Line);
  TCLAP::SwitchArg Runs("", "print-runs", "print the id of each request run",
                        Line);
  Line.parse(Count, Values);
  return {Role.getValue(),  Store.getValue(),  Settings.getValue(),
          Key.getValue(),   File.getValue(),   Version.getValue(),
          Slots.getValue(), WorkMs.getValue(), Runs.getValue()};
}

int runStore(io::EventLoop &Loop, const Words &Given) {
  const tools::StoreStandIn Store(Loop, Given.Store);
  if (!Store.open())
    return Refused;
  Loop.run();
  return 0;
}

int runInstance(io::EventLoop &Loop, const Words &Given) {
  const auto Text =
      config::readTextFile(Given.Settings, core::ErrorCode::SettingsUnreadable);
  if (!core::ok(Text))
    return Refused;
  const auto Read = platform::parseSettings(core::value(Text));
  if (!core::ok(Read)) {
    fmt::print(stderr, "{}\n", core::toString(core::failure(Read)));
    return Refused;
  }
  const io::mesh::MeshPlace &Place = core::value(Read).Place;
  const auto Http = io::HttpClient::create(Loop, {});
  tools::InstanceTerms Terms;
  Terms.Id = "i-" + Place.Node.value() + "-" + Given.Version;
  Terms.Service = Place.Service.value();
  Terms.Version = Given.Version;
  Terms.DataCentre = Place.DataCentre.value();
  Terms.Address = Place.TargetAddress;
  Terms.Control = Place.Control;
  Terms.Slots = Given.Slots;
  Terms.Work = core::Milliseconds(Given.WorkMs);
  Terms.PrintsRuns = Given.PrintsRuns;
  Terms.Born =
      static_cast<std::uint64_t>(Loop.now().Wall.time_since_epoch().count());
  const tools::InstanceStandIn Instance(Loop, *Http, Terms);
  if (!Instance.open())
    return Refused;
  Loop.run();
  return 0;
}

int put(io::EventLoop &Loop, const Words &Given) {
  const auto Text =
      config::readTextFile(Given.File, core::ErrorCode::SettingsUnreadable);
  if (!core::ok(Text))
    return Refused;
  const auto Http = io::HttpClient::create(Loop, {});
  io::HttpClient::Request What;
  What.Method = "POST";
  What.Url = "http://" + Given.Store + "/v1/log-append?topic=keyed.op&part=0";
  What.Deadline = Loop.now().Mono + core::Seconds(5);
  int Result = Refused;
  Http->fetch(std::move(What),
              platform::formatKeyed(Given.Key, core::value(Text)),
              [&](io::ClientEnd, int Status, const std::string &Answer) {
                fmt::print("{} {}\n", Status, Answer);
                Result = Status == 200 ? 0 : Refused;
                Loop.stop();
              });
  Loop.run();
  return Result;
}

} // namespace

int main(int Count, char *Values[]) {
  const Words Given = parse(Count, Values);
  io::EventLoop Loop;
  Loop.onTerminate([&Loop] { Loop.stop(); });
  if (Given.Role == "store")
    return runStore(Loop, Given);
  if (Given.Role == "instance")
    return runInstance(Loop, Given);
  if (Given.Role == "put")
    return put(Loop, Given);
  fmt::print(stderr, "unknown role {}\n", Given.Role);
  return Usage;
}
