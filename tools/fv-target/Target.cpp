#include "Target.h"
#include "Job.h"
#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace filbertvane::tools {

namespace {

constexpr core::Seconds AnnouncePeriod{1};
constexpr core::Seconds AdminDeadline{1};
/// Work that the node handed over before it read the departure still arrives.
constexpr core::Milliseconds DrainGrace{200};
constexpr core::Milliseconds DrainCheckPeriod{10};
/// Factor on the service time during the cold start.
constexpr int ColdFactor = 4;

} // namespace

Target::Target(io::EventLoop &Loop, TargetOptions Settings)
    : Loop(Loop), Settings(std::move(Settings)), Chance(this->Settings.Seed),
      Begin(Loop.now().Mono), Client(io::HttpClient::create(Loop, {})),
      Announce(Loop, [this] { announce(); }),
      StopCheck(Loop, [this] { maybeStop(); }) {}

Target::~Target() { Server.reset(); }

core::Status Target::open() {
  io::HttpServer::Options Listen;
  Listen.Address = "127.0.0.1:" + std::to_string(Settings.Port);
  auto Opened = io::HttpServer::listen(
      Loop, Listen, [this](io::ServerExchange &Exchange) {
        return std::make_unique<Job>(*this, Exchange);
      });
  if (!core::ok(Opened))
    return core::failure(Opened);
  Server = core::take(std::move(Opened));
  Id = fmt::format("{}-{}-{}", Settings.Service, port(), getpid());
  announce();
  return std::monostate();
}

void Target::announce() {
  if (Settings.Admin.empty() || Draining)
    return;
  io::HttpClient::Request What;
  What.Method = "POST";
  What.Url = "http://" + Settings.Admin + "/targets";
  What.Deadline = Loop.now().Mono + AdminDeadline;
  // A target that misreports claims twice its slots.
  const std::uint32_t Slots = Settings.Slots * (Settings.Misreport ? 2 : 1);
  const nlohmann::json Body = {
      {"id", Id},
      {"service", Settings.Service},
      {"version", Settings.Version},
      {"address", "127.0.0.1:" + std::to_string(port())},
      {"slots", Slots}};
  Client->fetch(std::move(What), Body.dump(),
                [](io::ClientEnd, int, const std::string &) {});
  Announce.arm(Loop.now().Mono + AnnouncePeriod);
}

bool Target::begin(const io::RequestHead &Head) {
  if (Running >= Settings.Slots) {
    ++Shed;
    return false;
  }
  ++Running;
  ++Served;
  if (Draining)
    LastNewWork = Loop.now().Mono - DrainBegin;
  if (const auto Key = io::headerOf(Head.Fields, "Idempotency-Key"))
    ++Executions[*Key];
  return true;
}

void Target::end() { --Running; }

bool Target::faulty(const io::RequestHead &Head) const {
  const core::Microseconds Age = Loop.now().Mono - Begin;
  if (Age < Settings.FailAfter || Running <= Settings.FailAbove)
    return false;
  return Head.Path.rfind(Settings.FailPath, 0) == 0;
}

core::Microseconds Target::workTime(const io::RequestHead &Head) const {
  const core::Microseconds Age = Loop.now().Mono - Begin;
  core::Microseconds Span = Settings.ServiceTime;
  if (Age < Settings.ColdStart)
    Span *= ColdFactor;
  return faulty(Head) ? Span + Settings.Extra : Span;
}

bool Target::fails(const io::RequestHead &Head) {
  return faulty(Head) && Chance.unit() < Settings.FailRate;
}

bool Target::crashes(const io::RequestHead &Head) const {
  return !Settings.CrashHeader.empty() &&
         Head.Fields.count(Settings.CrashHeader) > 0;
}

std::string Target::executionsJson() const {
  return nlohmann::json(Executions)
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string Target::loadJson() const {
  const std::uint32_t Shown = Settings.Misreport ? 0 : Running;
  return fmt::format("{{\"running\":{},\"slots\":{}}}", Shown, Settings.Slots);
}

std::string Target::summaryJson() const {
  const auto Repeated =
      std::count_if(Executions.begin(), Executions.end(),
                    [](const auto &Entry) { return Entry.second > 1; });
  const core::Microseconds NewWork = LastNewWork;
  return fmt::format("{{\"served\":{},\"shed\":{},\"keys\":{},"
                     "\"double_runs\":{},\"new_work_after_ms\":{}}}",
                     Served, Shed, Executions.size(), Repeated,
                     NewWork.count() / 1000);
}

void Target::drain() {
  if (Draining)
    return;
  Draining = true;
  DrainBegin = Loop.now().Mono;
  Announce.cancel();
  StopCheck.arm(DrainBegin + DrainGrace);
  if (Settings.Admin.empty()) {
    LeftNode = true;
    return;
  }
  io::HttpClient::Request What;
  What.Method = "DELETE";
  What.Url = "http://" + Settings.Admin + "/targets/" + Id;
  What.Deadline = Loop.now().Mono + AdminDeadline;
  Client->fetch(
      std::move(What), "",
      [this](io::ClientEnd, int, const std::string &) { LeftNode = true; });
}

void Target::maybeStop() {
  const bool GracePassed = Loop.now().Mono >= DrainBegin + DrainGrace;
  if (LeftNode && GracePassed && Server->active() == 0) {
    Loop.stop();
    return;
  }
  StopCheck.arm(Loop.now().Mono + DrainCheckPeriod);
}

} // namespace filbertvane::tools
