#include "Link.h"
#include "filbertvane/io/HttpServer.h"
#include <fmt/format.h>
#include <tclap/CmdLine.h>

using namespace filbertvane;

namespace {

/// @brief Answers `POST /cut`, `/heal`, `/silence`, `/silence-open` and
///        `GET /status`.
class Control final : public io::ExchangeHandler {
public:
  Control(tools::Link &Link, io::ServerExchange &Exchange)
      : Link(Link), Exchange(Exchange) {}
  void onBody(std::string_view) override {}
  void onBodyEnd() override {
    const std::string &Path = Exchange.request().Path;
    const bool Post = Exchange.request().Method == "POST";
    if (Post && Path == "/cut")
      Link.cut();
    else if (Post && Path == "/heal")
      Link.heal();
    else if (Post && Path == "/silence")
      Link.silence();
    else if (Post && Path == "/silence-open")
      Link.silenceOpen();
    else if (Path != "/status")
      return Exchange.respond(404, "unknown path or method\n");
    Exchange.respond(200, Link.statusJson(),
                     {{"Content-Type", "application/json"}});
  }
  void onWritable() override {}
  void onClosed(bool) override {}

private:
  tools::Link &Link;
  io::ServerExchange &Exchange;
};

} // namespace

int main(int Count, char *Arguments[]) {
  using TCLAP::ValueArg;
  TCLAP::CmdLine Line("TCP link that can fail", ' ', "0.1");
  ValueArg<std::string> Listen("", "listen", "address to accept on", false,
                               "127.0.0.1:0", "IP:PORT", Line);
  ValueArg<std::string> To("", "to", "address to forward to", true, "",
                           "IP:PORT", Line);
  ValueArg<int> DelayMs("", "delay-ms", "delay in each direction", false, 0,
                        "MS", Line);
  ValueArg<int> ControlPort("", "control", "control port, 0 for a free one",
                            false, 0, "PORT", Line);
  Line.parse(Count, Arguments);
  io::EventLoop Loop;
  tools::Link Link(Loop, To.getValue(), core::Milliseconds(DelayMs.getValue()));
  if (!Link.open(Listen.getValue())) {
    fmt::print(stderr, "cannot listen on {} or forward to {}\n",
               Listen.getValue(), To.getValue());
    return 1;
  }
  io::HttpServer::Options Settings;
  Settings.Address = "127.0.0.1:" + std::to_string(ControlPort.getValue());
  auto Server = io::HttpServer::listen(
      Loop, Settings, [&Link](io::ServerExchange &Exchange) {
        return std::make_unique<Control>(Link, Exchange);
      });
  if (!core::ok(Server)) {
    fmt::print(stderr, "{}\n", core::toString(core::failure(Server)));
    return 1;
  }
  Loop.onTerminate([&Loop] { Loop.stop(); });
  fmt::print("listening {} control {}\n", Link.port(),
             core::value(Server)->port());
  std::fflush(stdout);
  Loop.run();
  return 0;
}
