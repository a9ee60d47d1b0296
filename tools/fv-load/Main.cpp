#include "Generator.h"
#include <fmt/format.h>
#include <tclap/CmdLine.h>

using namespace filbertvane;

namespace {

io::Headers parseHeaders(const std::vector<std::string> &Lines) {
  io::Headers Fields;
  for (const std::string &Line : Lines) {
    const std::size_t Colon = std::min(Line.find(':'), Line.size());
    Fields.emplace(Line.substr(0, Colon),
                   Colon < Line.size() ? Line.substr(Colon + 1) : "");
  }
  return Fields;
}

tools::LoadOptions parse(int Count, char *Arguments[]) {
  using TCLAP::ValueArg;
  TCLAP::CmdLine Line("Open-loop load generator", ' ', "0.1");
  TCLAP::MultiArg<std::string> Urls("", "url", "base URL, used in turn", true,
                                    "http://IP:PORT", Line);
  TCLAP::MultiArg<std::string> Fields("", "header", "header of each request",
                                      false, "NAME:VALUE", Line);
  ValueArg<double> Rate("", "rate", "requests per second", false, 100., "N",
                        Line);
  ValueArg<double> Seconds("", "seconds", "duration", false, 1., "S", Line);
  ValueArg<std::string> Path("", "path", "path", false, "/", "PATH", Line);
  ValueArg<std::string> Method("", "method", "method", false, "GET", "METHOD",
                               Line);
  ValueArg<std::size_t> Bytes("", "bytes", "body bytes", false, 0, "N", Line);
  TCLAP::SwitchArg Keys("", "key", "send an Idempotency-Key", Line);
  ValueArg<double> Repeat("", "repeat-rate", "share of keys sent twice", false,
                          0., "SHARE", Line);
  ValueArg<int> DeadlineMs("", "deadline-ms", "limit per request", false, 10000,
                           "MS", Line);
  ValueArg<std::size_t> InFlight("", "max-in-flight", "limit of open requests",
                                 false, 10000, "N", Line);
  ValueArg<std::uint64_t> Seed("", "seed", "seed", false, 1, "N", Line);
  ValueArg<std::string> KeysFile("", "keys-file", "file for key and verdict",
                                 false, "", "FILE", Line);
  Line.parse(Count, Arguments);
  tools::LoadOptions Out;
  Out.Urls = Urls.getValue();
  Out.Rate = Rate.getValue();
  Out.Seconds = Seconds.getValue();
  Out.Path = Path.getValue();
  Out.Method = Method.getValue();
  Out.Bytes = Bytes.getValue();
  Out.Keys = Keys.getValue();
  Out.RepeatRate = Repeat.getValue();
  Out.Deadline = core::Milliseconds(DeadlineMs.getValue());
  Out.MaxInFlight = InFlight.getValue();
  Out.Seed = Seed.getValue();
  Out.Fields = parseHeaders(Fields.getValue());
  Out.KeysFile = KeysFile.getValue();
  return Out;
}

} // namespace

int main(int Count, char *Arguments[]) {
  const tools::LoadOptions Settings = parse(Count, Arguments);
  if (Settings.Rate <= 0.) {
    fmt::print(stderr, "--rate must be above 0\n");
    return 2;
  }
  io::EventLoop Loop;
  tools::Generator Load(Loop, Settings);
  Loop.onTerminate([&Loop] { Loop.stop(); });
  Load.start();
  Loop.run();
  fmt::print("{}\n", Load.results().toJson());
  return 0;
}
