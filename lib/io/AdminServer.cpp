#include "filbertvane/io/AdminServer.h"
#include <nlohmann/json.hpp>

namespace filbertvane::io {

namespace {

/// Three announcements, one second apart, may be lost.
constexpr core::Seconds AnnouncementLife{3};
constexpr std::size_t MaxAnnouncementBytes = 4096;
/// Targets of one host.
constexpr std::size_t MaxTargets = 64;
constexpr std::uint32_t MaxSlots = 65536;

core::Error malformed(const std::string &Field) {
  return {core::ErrorCode::RequestMalformed, "announcement field " + Field};
}

class Admin final : public AdminServer {
public:
  Admin(EventLoop &Loop, Callbacks Calls)
      : Loop(Loop), Calls(std::move(Calls)),
        Expiry(Loop, [this] { expire(); }) {}
  core::Status open(const std::string &Address);
  std::uint16_t port() const override { return Server->port(); }

  void answer(ServerExchange &Exchange, const std::string &Body);

private:
  struct Known {
    TargetAnnouncement What;
    core::TimePoint Until;
  };

  void announce(ServerExchange &Exchange, const std::string &Body);
  void leave(ServerExchange &Exchange, const std::string &Id);
  void expire();
  void armExpiry();

  EventLoop &Loop;
  Callbacks Calls;
  Timer Expiry;
  std::map<core::TargetId, Known> Targets;
  std::unique_ptr<HttpServer> Server;
};

/// @brief Collects a small body, then lets the server answer.
class AdminExchange final : public ExchangeHandler {
public:
  AdminExchange(Admin &Owner, ServerExchange &Exchange)
      : Owner(Owner), Exchange(Exchange) {}
  void onBody(std::string_view Part) override {
    const std::size_t Room = MaxAnnouncementBytes + 1 - Body.size();
    Body.append(Part.substr(0, Room));
  }
  void onBodyEnd() override { Owner.answer(Exchange, Body); }
  void onWritable() override {}
  void onClosed(bool) override {}

private:
  Admin &Owner;
  ServerExchange &Exchange;
  std::string Body;
};

bool isLoopback(const std::string &Address) {
  return Address.rfind("127.", 0) == 0 || Address.rfind("[::1]:", 0) == 0;
}

core::Status Admin::open(const std::string &Address) {
  if (!isLoopback(Address))
    return core::Error{core::ErrorCode::ProcessListenFailed,
                       Address + " is not a loopback address"};
  HttpServer::Options Settings;
  Settings.Address = Address;
  auto Opened =
      HttpServer::listen(Loop, Settings, [this](ServerExchange &Exchange) {
        return std::make_unique<AdminExchange>(*this, Exchange);
      });
  if (!core::ok(Opened))
    return core::failure(Opened);
  Server = core::take(std::move(Opened));
  return std::monostate();
}

void Admin::answer(ServerExchange &Exchange, const std::string &Body) {
  const RequestHead &Head = Exchange.request();
  const std::string Path = Head.Path.substr(0, Head.Path.find('?'));
  constexpr std::string_view TargetPrefix = "/targets/";
  const bool Get = Head.Method == "GET";
  if (Get && Path == "/metrics")
    return Exchange.respond(
        200, Calls.Metrics ? Calls.Metrics() : "",
        {{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}});
  if (Get && Path == "/status")
    return Exchange.respond(200, Calls.Status ? Calls.Status() : "{}",
                            {{"Content-Type", "application/json"}});
  if (Get && Path == "/healthz") {
    const bool Healthy = Calls.Healthy && Calls.Healthy();
    return Exchange.respond(Healthy ? 200 : 503,
                            Healthy ? "ok\n" : "not ready\n");
  }
  if (Head.Method == "POST" && Path == "/targets")
    return announce(Exchange, Body);
  if (Head.Method == "DELETE" && Path.rfind(TargetPrefix, 0) == 0)
    return leave(Exchange, Path.substr(TargetPrefix.size()));
  Exchange.respond(404, "unknown path or method\n");
}

void Admin::announce(ServerExchange &Exchange, const std::string &Body) {
  const auto Parsed = parseAnnouncement(Body);
  if (!core::ok(Parsed)) {
    Exchange.respond(400, core::toString(core::failure(Parsed)) + "\n");
    return;
  }
  const TargetAnnouncement &What = core::value(Parsed);
  const auto Found = Targets.find(What.Id);
  if (Found == Targets.end() && Targets.size() >= MaxTargets) {
    Exchange.respond(429, "too many targets on this host\n");
    return;
  }
  const bool Changed = Found == Targets.end() || Found->second.What != What;
  Targets[What.Id] = {What, Loop.now().Mono + AnnouncementLife};
  armExpiry();
  if (Changed && Calls.OnTarget)
    Calls.OnTarget(What);
  Exchange.respond(204, "");
}

void Admin::leave(ServerExchange &Exchange, const std::string &Id) {
  const core::TargetId Target(Id);
  if (Targets.erase(Target) == 0) {
    Exchange.respond(404, "unknown target\n");
    return;
  }
  if (Calls.OnTargetGone)
    Calls.OnTargetGone(Target, false);
  Exchange.respond(204, "");
}

void Admin::expire() {
  const core::TimePoint Now = Loop.now().Mono;
  std::vector<core::TargetId> Gone;
  for (const auto &[Id, Target] : Targets)
    if (Target.Until <= Now)
      Gone.push_back(Id);
  for (const core::TargetId &Id : Gone) {
    Targets.erase(Id);
    if (Calls.OnTargetGone)
      Calls.OnTargetGone(Id, true);
  }
  armExpiry();
}

void Admin::armExpiry() {
  std::optional<core::TimePoint> First;
  for (const auto &[Id, Target] : Targets)
    First = First ? std::min(*First, Target.Until) : Target.Until;
  if (First)
    Expiry.arm(*First);
  else
    Expiry.cancel();
}

} // namespace

core::Result<TargetAnnouncement> parseAnnouncement(std::string_view Json) {
  if (Json.size() > MaxAnnouncementBytes)
    return core::Error{core::ErrorCode::RequestTooLarge, "announcement"};
  const auto Root = nlohmann::json::parse(Json, nullptr, false);
  if (!Root.is_object())
    return malformed("(root)");
  std::map<std::string, std::string> Texts;
  for (const char *Name : {"id", "service", "version", "address"}) {
    const auto Found = Root.find(Name);
    if (Found == Root.end() || !Found->is_string() ||
        Found->get_ref<const std::string &>().empty())
      return malformed(Name);
    Texts[Name] = Found->get<std::string>();
  }
  const auto Slots = Root.find("slots");
  if (Slots == Root.end() || !Slots->is_number_unsigned())
    return malformed("slots");
  const auto Count = Slots->get<std::uint64_t>();
  if (Count == 0 || Count > MaxSlots)
    return malformed("slots");
  return TargetAnnouncement{
      core::TargetId(Texts["id"]), core::ServiceName(Texts["service"]),
      core::TargetVersion(Texts["version"]), Texts["address"],
      static_cast<std::uint32_t>(Count)};
}

core::Result<std::unique_ptr<AdminServer>>
AdminServer::listen(EventLoop &Loop, const std::string &Address,
                    Callbacks Calls) {
  auto Made = std::make_unique<Admin>(Loop, std::move(Calls));
  if (const core::Status Opened = Made->open(Address); !core::ok(Opened))
    return core::failure(Opened);
  return std::unique_ptr<AdminServer>(std::move(Made));
}

} // namespace filbertvane::io
