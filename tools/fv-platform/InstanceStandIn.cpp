#include "InstanceStandIn.h"
#include <cstdio>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace filbertvane::tools {

namespace {

/// Most request ids that are remembered.
constexpr std::size_t MostRuns = 100000;
constexpr core::Milliseconds BeatTime{1000};

} // namespace

class InstanceStandIn::Exchange final : public io::ExchangeHandler {
public:
  Exchange(InstanceStandIn &Owner, io::ServerExchange &Inner)
      : Owner(Owner), Inner(Inner),
        Done(Owner.Loop, [this] { this->Owner.finish(*this); }) {}
  void onBody(std::string_view Part) override { Body.append(Part); }
  void onBodyEnd() override { Owner.take(*this); }
  void onWritable() override {}
  void onClosed(bool) override {
    if (Runs)
      --Owner.Running;
    Runs = false;
  }
  std::string field(const char *Name) const {
    return io::headerOf(Inner.request().Fields, Name).value_or("");
  }

  InstanceStandIn &Owner;
  io::ServerExchange &Inner;
  std::string Body;
  io::Timer Done;
  bool Runs = false;
};

InstanceStandIn::InstanceStandIn(io::EventLoop &Loop, io::HttpClient &Http,
                                 InstanceTerms What)
    : Loop(Loop), Http(Http), Terms(std::move(What)),
      Beat(Loop, [this] { beat(); }) {
  io::HttpServer::Options Options;
  Options.Address = Terms.Address;
  auto Opened = io::HttpServer::listen(
      Loop, Options,
      [this](io::ServerExchange &E) -> std::unique_ptr<io::ExchangeHandler> {
        return std::make_unique<Exchange>(*this, E);
      });
  if (core::ok(Opened))
    Server = core::take(std::move(Opened));
  Beat.arm(Loop.now().Mono);
}

// Ending exchanges still use the other members.
InstanceStandIn::~InstanceStandIn() { Server.reset(); }

std::size_t InstanceStandIn::runs(const std::string &RequestId) const {
  const auto Found = Runs.find(RequestId);
  return Found == Runs.end() ? 0 : Found->second;
}

void InstanceStandIn::take(Exchange &Who) {
  LastArrival = Loop.now().Mono;
  LastCaller = Who.field("X-Caller-Service");
  LastFields = Who.Inner.request().Fields;
  if (Who.field("X-Expected-Instance") != Terms.Id)
    return Who.Inner.respond(421, "", {{"X-Instance-Id", Terms.Id}});
  if (Running >= Terms.Slots)
    return Who.Inner.respond(
        503, "",
        {{"X-Not-Executed", "1"}, {"X-Attempt-Id", Who.field("X-Attempt-Id")}});
  ++Running;
  ++InAll;
  if (Runs.size() < MostRuns)
    ++Runs[Who.field("X-Attempt-Id")];
  if (Terms.PrintsRuns) {
    fmt::print("run {}\n", Who.field("X-Attempt-Id"));
    std::fflush(stdout);
  }
  Who.Runs = true;
  Who.Done.arm(Loop.now().Mono + Terms.Work);
}

void InstanceStandIn::finish(Exchange &Who) {
  if (LosesAnswers)
    return Who.Inner.abort();
  io::Headers Fields = {{"X-Attempt-Id", Who.field("X-Attempt-Id")},
                        {"X-Response-Signature", Terms.Id + ".1"}};
  Fields.insert(Added.begin(), Added.end());
  Who.Inner.respond(200, Who.Body.empty() ? "ok" : Who.Body, std::move(Fields));
}

void InstanceStandIn::beat() {
  say("heartbeat", nlohmann::json{{"service", Terms.Service},
                                  {"address", Terms.Address},
                                  {"zone", Terms.DataCentre},
                                  {"version", Terms.Version},
                                  {"slots", Terms.Slots},
                                  {"state", Draining ? "draining" : "ready"},
                                  {"cold_left", "0ms"},
                                  {"born", Terms.Born},
                                  {"sequence", ++Sequence}}
                       .dump());
  Beat.arm(Loop.now().Mono + Terms.BeatPeriod);
}

void InstanceStandIn::drain() {
  Draining = true;
  beat();
}

void InstanceStandIn::deregister() {
  say("deregister", nlohmann::json{{"born", Terms.Born}}.dump());
}

void InstanceStandIn::say(const std::string &Call, const std::string &Body) {
  io::HttpClient::Request What;
  What.Method = "POST";
  What.Url =
      "http://" + Terms.Control + "/v1/instances/" + Terms.Id + "/" + Call;
  What.Fields = {{"Content-Type", "application/json"}};
  What.Deadline = Loop.now().Mono + BeatTime;
  Http.fetch(std::move(What), Body,
             [this, Leaving = Draining || Call == "deregister",
              Life = std::weak_ptr<bool>(Alive)](io::ClientEnd, int Status,
                                                 const std::string &) {
               if (!Life.expired() && Leaving)
                 Acknowledged = Acknowledged || Status == 200;
             });
}

} // namespace filbertvane::tools
