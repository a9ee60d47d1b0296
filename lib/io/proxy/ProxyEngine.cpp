#include "ProxyEngineImpl.h"
#include <fmt/format.h>

namespace filbertvane::io {

namespace proxy {

namespace {

/// Forwards an exchange's calls; the call itself outlives the exchange.
class CallExchange final : public ExchangeHandler {
public:
  CallExchange(Engine &Owner, core::CallId Id) : Owner(Owner), Id(Id) {}
  void onBody(std::string_view Part) override { Owner.takeBody(Id, Part); }
  void onBodyEnd() override { Owner.takeBodyEnd(Id); }
  void onWritable() override { Owner.takeWritable(Id); }
  void onClosed(bool Whole) override { Owner.takeClosed(Id, Whole); }

private:
  Engine &Owner;
  core::CallId Id;
};

/// Handler of a request that was answered at its head.
class Answered final : public ExchangeHandler {
  void onBody(std::string_view) override {}
  void onBodyEnd() override {}
  void onWritable() override {}
  void onClosed(bool) override {}
};

template <typename Call, typename Arg>
void forward(const Call &To, const Arg &What) {
  if (To)
    To(What);
}

std::string refusalText(const core::Error &Reason) {
  return core::toString(Reason) + "\n";
}

} // namespace

Call::Call(core::CallId Id, ServerExchange &Exchange, bool FromNode)
    : Id(Id), Exchange(&Exchange), FromNode(FromNode),
      Head(Exchange.request()) {}

Call::~Call() = default;

Engine::Engine(EventLoop &Loop, HttpClient &Client, Options Settings,
               Decide OnEvent, Callbacks Others)
    : Loop(Loop), Client(Client), Settings(std::move(Settings)),
      OnEvent(std::move(OnEvent)), Others(std::move(Others)),
      Ids(this->Settings.Seed) {}

Engine::~Engine() {
  // Ending exchanges must not reach the decision code any more.
  OnEvent = [](const request::Event &) { return request::Effects(); };
  Callers.reset();
  Peers.reset();
}

core::Status Engine::open() {
  HttpServer::Options Listen;
  Listen.MaxConnections = Settings.MaxConnections;
  Listen.Address = Settings.Callers;
  auto Opened = HttpServer::listen(
      Loop, Listen, [this](ServerExchange &E) { return accept(E, false); });
  if (!core::ok(Opened))
    return core::failure(Opened);
  Callers = core::take(std::move(Opened));
  Listen.Address = Settings.Peers;
  Opened = HttpServer::listen(
      Loop, Listen, [this](ServerExchange &E) { return accept(E, true); });
  if (!core::ok(Opened))
    return core::failure(Opened);
  Peers = core::take(std::move(Opened));
  return std::monostate();
}

std::unique_ptr<ExchangeHandler> Engine::accept(ServerExchange &Exchange,
                                                bool FromNode) {
  const Headers &Fields = Exchange.request().Fields;
  const std::string Shown = headerOf(Fields, PeerKeyField).value_or("");
  if (FromNode && !sameSecret(Shown, Settings.PeerKey)) {
    const core::Error Reason{core::ErrorCode::RequestPeerUnauthorised,
                             Exchange.request().Remote};
    return refuseHead(Exchange, 403, Reason);
  }
  const core::CallId Id(++NextCall);
  auto New = std::make_unique<Call>(Id, Exchange, FromNode);
  New->RequestId = fmt::format("{}-{:x}-{}", Settings.Self.value(),
                               Ids.next() >> 32, Id.value());
  New->Hop.Begin = Loop.now();
  const auto Parent =
      observe::parseTraceParent(headerOf(Fields, "traceparent").value_or(""));
  New->Hop.Context = observe::childOf(Parent, Ids);
  New->Hop.ParentSpan = Parent ? Parent->SpanId : "";
  if (const auto Fault = readControlFields(*New))
    return refuseHead(Exchange, 400, *Fault);
  Calls.emplace(Id, std::move(New));
  return std::make_unique<CallExchange>(*this, Id);
}

std::unique_ptr<ExchangeHandler> Engine::refuseHead(ServerExchange &Exchange,
                                                    int Status,
                                                    const core::Error &Reason) {
  Headers Fields = {{OutcomeField, "not-run"}, {"Content-Type", "text/plain"}};
  if (const auto Identity = headerOf(Exchange.request().Fields, RequestField))
    Fields.emplace(RequestField, *Identity);
  Exchange.respond(Status, refusalText(Reason), std::move(Fields));
  return std::make_unique<Answered>();
}

std::optional<core::Error> Engine::readControlFields(Call &New) {
  const Headers &Fields = New.Head.Fields;
  if (const auto Length = headerOf(Fields, "Content-Length"))
    New.DeclaredLength = parseNumber(*Length);
  else if (Fields.count("Transfer-Encoding") == 0)
    New.DeclaredLength = 0;
  const char *KeyName = New.FromNode ? KeyField : "Idempotency-Key";
  if (const auto Key = headerOf(Fields, KeyName))
    New.Key = core::IdempotencyKey(*Key);
  if (!New.FromNode) {
    // Control headers from outside carry no authority.
    New.Head.Fields = endToEnd(Fields);
    return std::nullopt;
  }
  New.RequestId = headerOf(Fields, RequestField).value_or("");
  const auto Deadline = headerOf(Fields, DeadlineField);
  if (New.RequestId.empty() || (Deadline && !parseNumber(*Deadline)))
    return core::Error{core::ErrorCode::RequestMalformed, "control headers"};
  return std::nullopt;
}

Call *Engine::find(core::CallId Id) {
  const auto Found = Calls.find(Id);
  return Found == Calls.end() ? nullptr : Found->second.get();
}

void Engine::takeBody(core::CallId Id, std::string_view Part) {
  Call *Of = find(Id);
  if (Of == nullptr || Of->Over)
    return;
  if (Of->Streamed) {
    if (Of->Current)
      Of->Current->writeBody(Part);
    return;
  }
  Of->Kept.append(Part);
  const bool Overflow = Of->Kept.size() > KeptBodyBytes;
  if (Of->Current) {
    Of->Streamed = Overflow;
    if (Overflow)
      Of->Kept.clear();
    Of->Current->writeBody(Part);
  } else if (Overflow) {
    Of->Exchange->pauseBody(true);
  }
  if (!Of->Arrived && Of->Kept.size() >= DigestBodyBytes)
    arrive(*Of);
}

void Engine::takeBodyEnd(core::CallId Id) {
  Call *Of = find(Id);
  if (Of == nullptr)
    return;
  Of->BodyWhole = true;
  if (Of->Current)
    Of->Current->finishBody();
  if (!Of->Arrived)
    arrive(*Of);
}

void Engine::arrive(Call &New) {
  New.Arrived = true;
  const Headers &Fields = New.Head.Fields;
  request::CallArrived Event;
  Event.Id = New.Id;
  Event.FromNode = New.FromNode;
  Event.Path = New.Head.Path;
  Event.Method = New.Head.Method;
  Event.Key = New.Key;
  const std::string Key = New.Key ? New.Key->value() : "";
  Event.RequestDigest = core::digestOf(
      fmt::format("{}\n{}\n{}\n{}", Event.Method, Event.Path, Key,
                  std::string_view(New.Kept).substr(0, DigestBodyBytes)));
  Event.ContentLength = New.DeclaredLength.value_or(New.Kept.size());
  if (New.FromNode) {
    if (const auto Limit = headerOf(Fields, DeadlineField))
      Event.Deadline = core::WallTime(core::Milliseconds(
          static_cast<std::int64_t>(parseNumber(*Limit).value_or(0))));
    if (const auto Service = headerOf(Fields, ServiceField))
      Event.Service = core::ServiceName(*Service);
    if (const auto Version = headerOf(Fields, VersionField))
      Event.Version = core::TargetVersion(*Version);
  }
  handle(Event);
}

void Engine::takeWritable(core::CallId Id) {
  const Call *Of = find(Id);
  if (Of != nullptr && Of->Current)
    Of->Current->pauseAnswer(false);
}

void Engine::takeClosed(core::CallId Id, bool Whole) {
  Call *Of = find(Id);
  if (Of == nullptr)
    return;
  Of->Exchange = nullptr;
  // The last byte of an answer of known length may leave before the attempt
  // reports its end.
  if (Whole && Of->Current)
    return;
  if (!Of->Over) {
    Of->Over = true;
    endHop(*Of, 0);
    if (Of->Arrived)
      handle(request::CallerGone{Id});
  }
  Calls.erase(Id);
}

void Engine::releaseIfOver(core::CallId Id) {
  const Call *Of = find(Id);
  if (Of != nullptr && Of->Exchange == nullptr && !Of->Current)
    Calls.erase(Id);
}

void Engine::brokenOff(Call &Done, int Status) {
  Done.Over = true;
  endHop(Done, Status);
  if (Done.Exchange != nullptr)
    Done.Exchange->abort();
}

void Engine::answered(Call &Done, int Status) {
  Done.Over = true;
  if (Done.Exchange != nullptr)
    Done.Exchange->finish();
  endHop(Done, Status);
  if (Done.Key && Others.OnAnswer &&
      Done.Answer.Body.size() <= StoredAnswerBytes)
    Others.OnAnswer(*Done.Key, Done.Answer);
}

void Engine::endHop(Call &Done, int Status) {
  Done.Hop.Method = Done.Head.Method;
  Done.Hop.Path = Done.Head.Path;
  Done.Hop.FromNode = Done.FromNode;
  Done.Hop.Status = Status;
  Done.Hop.End = Loop.now();
  forward(Others.OnHop, Done.Hop);
}

void Engine::handle(const request::Event &Happened) {
  for (const request::Effect &Do : OnEvent(Happened))
    execute(Do);
}

void Engine::execute(const request::Effect &Do) {
  std::visit(
      core::Overloaded{
          [this](const request::StartAttempt &E) { startAttempt(E); },
          [this](const request::CancelAttempt &E) { cancelAttempt(E); },
          [this](const request::Refuse &E) { refuse(E); },
          [this](const request::RequestClaim &E) {
            forward(Others.OnClaim, E);
          },
          [this](const request::AnswerFromOwner &E) {
            forward(Others.OnAnswerFromOwner, E);
          },
          [this](const request::Observed &E) { forward(Others.OnObserved, E); },
          [this](const request::SuspectReported &E) {
            forward(Others.OnSuspect, E);
          },
          [this](const observe::LogEvent &E) { forward(Others.OnLog, E); }},
      Do);
}

void Engine::startAttempt(const request::StartAttempt &What) {
  Call *Of = find(What.Id);
  if (Of == nullptr || Of->Over || Of->Exchange == nullptr)
    return;
  if (Of->Streamed) {
    const core::Error Reason{core::ErrorCode::RequestTooLarge,
                             "body cannot be sent a second time"};
    refuse(*Of, request::Outcome::NotRun, Reason, true);
    handle(request::CallerGone{What.Id});
    return;
  }
  HttpClient::Request Sent;
  Sent.Method = Of->Head.Method;
  Sent.Url = "http://" + What.To.Address + Of->Head.Path;
  Sent.Fields = attemptFields(*Of, What, Settings.PeerKey, Loop.now());
  Sent.Deadline = What.Deadline;
  Sent.ProvenConnection = What.NeedsProvenConnection;
  Sent.ContentLength = Of->DeclaredLength;
  if (Of->BodyWhole)
    Sent.ContentLength = Of->Kept.size();
  Of->Current = std::make_unique<Attempt>(*this, *Of, What);
  Of->Current->begin(Client, std::move(Sent));
  sendBody(*Of);
}

void Engine::sendBody(Call &Of) {
  Of.Current->writeBody(Of.Kept);
  if (Of.BodyWhole) {
    Of.Current->finishBody();
    return;
  }
  if (Of.Kept.size() > KeptBodyBytes) {
    Of.Streamed = true;
    Of.Kept.clear();
  }
  Of.Exchange->pauseBody(false);
}

void Engine::cancelAttempt(const request::CancelAttempt &What) {
  Call *Of = find(What.Id);
  if (Of == nullptr || !Of->Current || Of->Current->id() != What.Attempt)
    return;
  Of->Current.reset();
  releaseIfOver(What.Id);
}

void Engine::refuse(const request::Refuse &What) {
  Call *Of = find(What.Id);
  if (Of != nullptr)
    refuse(*Of, What.Result, What.Reason, What.Retried);
}

void Engine::refuse(Call &Of, request::Outcome Result,
                    const core::Error &Reason, bool Retried) {
  if (Of.Over || Of.Exchange == nullptr)
    return;
  Of.Over = true;
  Of.Current.reset();
  if (Of.AnswerStarted) {
    Of.Exchange->abort();
    return;
  }
  const bool NotRun = Result == request::Outcome::NotRun;
  Headers Fields = {{OutcomeField, NotRun ? "not-run" : "unknown"},
                    {RequestField, Of.RequestId},
                    {"Content-Type", "text/plain"}};
  if (Retried)
    Fields.emplace(RetriedField, "1");
  const int Status = NotRun ? 503 : 504;
  endHop(Of, Status);
  Of.Exchange->respond(Status, refusalText(Reason), std::move(Fields));
}

void Engine::answer(core::CallId Id, const StoredAnswer &Kept) {
  Call *Of = find(Id);
  if (Of == nullptr || Of->Over || Of->Exchange == nullptr)
    return;
  Of->Over = true;
  Headers Fields = endToEnd(Kept.Fields);
  Fields.emplace(RequestField, Of->RequestId);
  endHop(*Of, Kept.Status);
  Of->Exchange->respond(Kept.Status, Kept.Body, std::move(Fields));
}

void Engine::quiesce() {
  Callers->quiesce();
  Peers->quiesce();
}

} // namespace proxy

core::Result<std::unique_ptr<ProxyEngine>>
ProxyEngine::create(EventLoop &Loop, HttpClient &Client, Options Settings,
                    Decide OnEvent, Callbacks Others) {
  auto Made = std::make_unique<proxy::Engine>(
      Loop, Client, std::move(Settings), std::move(OnEvent), std::move(Others));
  if (const core::Status Opened = Made->open(); !core::ok(Opened))
    return core::failure(Opened);
  return std::unique_ptr<ProxyEngine>(std::move(Made));
}

} // namespace filbertvane::io
