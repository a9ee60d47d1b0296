#include "KeptAnswerCodec.h"
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

std::uint64_t numberOf(const Headers &Fields, const char *Name) {
  const auto Text = headerOf(Fields, Name);
  return Text ? parseNumber(*Text).value_or(0) : 0;
}

core::WallTime wallTimeOf(std::uint64_t Millis) {
  return core::WallTime(core::Milliseconds(static_cast<std::int64_t>(Millis)));
}

/// Shorter than the shortest time after which a target closes an idle
/// connection.
constexpr core::Seconds TargetIdleTime{4};

StoredAnswer decodeStored(const request::KeptAnswer &Kept) {
  return decodeAnswer(Kept.Bytes).value_or(StoredAnswer{Kept.Status, {}, {}});
}

std::string refusalText(const core::Error &Reason) {
  return core::toString(Reason) + "\n";
}

} // namespace

Call::Call(core::CallId Id, ServerExchange &Exchange, bool FromNode,
           HeldBytes &AllAnswers)
    : Id(Id), Exchange(&Exchange), FromNode(FromNode), Head(Exchange.request()),
      AnswerBytes(AllAnswers) {}

Call::~Call() = default;

Engine::Engine(EventLoop &Loop, HttpClient &Client, Options Settings,
               Decide OnEvent, Callbacks Others)
    : Loop(Loop), Client(Client), Targets(Loop, targetOptions()),
      Settings(std::move(Settings)), OnEvent(std::move(OnEvent)),
      Others(std::move(Others)), Ids(this->Settings.Seed),
      Bulk(Loop, this->Settings.LinkBytesPerSecond,
           [this](core::CallId Id) {
             const Call *Of = find(Id);
             return Of == nullptr ? nullptr : Of->Exchange;
           }),
      Uploads(Loop, this->Settings.LinkBytesPerSecond,
              {[this](core::CallId Id) {
                 const Call *Of = find(Id);
                 if (Of != nullptr && Of->Exchange != nullptr)
                   Of->Exchange->pauseBody(false);
               },
               [this](core::CallId Id) {
                 if (Call *Of = find(Id); Of != nullptr && !Of->Arrived)
                   refuseUpload(*Of);
               }}) {}

targets::TargetClient::Options Engine::targetOptions() {
  targets::TargetClient::Options Made;
  Made.IdleConnections = Client.options().IdleConnections;
  Made.ConnectTimeout = Client.options().ConnectTimeout;
  Made.AnsweredRequest = [this](const ResponseHead &Head) {
    return Settings.Dialect ? Settings.Dialect->answeredRequest(Head)
                            : headerOf(Head.Fields, RequestField);
  };
  Made.OnDropped = [this](const std::string &Address,
                          const ResponseHead &Head) {
    forward(Others.OnLog, observe::LogEvent{observe::EventId::MeshAnswerDropped,
                                            fmt::format("target={} status={}",
                                                        Address, Head.Status)});
  };
  return Made;
}

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
  Listen.Inputs = Settings.Inputs;
  auto Opened = HttpServer::listen(
      Loop, Listen, [this](ServerExchange &E) { return accept(E, false); });
  if (!core::ok(Opened))
    return core::failure(Opened);
  Callers = core::take(std::move(Opened));
  Listen.Address = Settings.Peers;
  Listen.FromNodes = true;
  Listen.IdleTimeout = Settings.PeerIdleTimeout;
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
  auto New = std::make_unique<Call>(Id, Exchange, FromNode, AllAnswers);
  New->RequestId = Settings.Dialect
                       ? fmt::format("{:x}-{}", Ids.next() >> 32, Id.value())
                       : fmt::format("{}-{:x}-{}", Settings.Self.value(),
                                     Ids.next() >> 32, Id.value());
  New->Hop.Begin = Loop.now();
  const auto Parent =
      observe::parseTraceParent(headerOf(Fields, "traceparent").value_or(""));
  New->Hop.Context = observe::childOf(Parent, Ids);
  New->Hop.ParentSpan = Parent ? Parent->SpanId : "";
  if (const auto Fault = readControlFields(*New))
    return refuseHead(Exchange, 400, *Fault);
  if (const auto Fault = readDialectFields(*New))
    return refuseHead(Exchange, 400, *Fault);
  Call &Added = *Calls.emplace(Id, std::move(New)).first->second;
  if (FromNode)
    admitUpload(Added);
  return std::make_unique<CallExchange>(*this, Id);
}

/// A node that announces a body sends it when it is asked to.
void Engine::admitUpload(Call &New) {
  const std::uint64_t Bytes =
      New.DeclaredLength.value_or(decide::UploadGate::AssumedBytes);
  if (!New.Terms || New.Head.Fields.count("Expect") == 0 ||
      Bytes <= decide::UploadGate::SmallBodyBytes)
    return;
  const core::Milliseconds Left =
      New.Terms->AcceptLate ? New.TimeLeft.value_or(core::Milliseconds(0))
                            : New.Terms->ObjectiveLeft;
  const core::TimePoint NeededBy = Loop.now().Mono + Left / 4 * 3;
  switch (Uploads.submit({New.Id, Bytes, NeededBy})) {
  case decide::UploadVerdict::Start:
    return;
  case decide::UploadVerdict::Wait:
    return New.Exchange->pauseBody(true);
  case decide::UploadVerdict::Refuse:
    return refuseUpload(New);
  }
}

void Engine::refuseUpload(Call &New) {
  New.UploadRefused = true;
  arrive(New);
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
  if (const auto Owner = headerOf(Fields, KeptOwnerField)) {
    New.KeptOwner = parseOwner(*Owner);
    if (!New.KeptOwner)
      return core::Error{core::ErrorCode::RequestMalformed, KeptOwnerField};
  }
  const auto Deadline = headerOf(Fields, DeadlineField);
  if (New.RequestId.empty() || (Deadline && !parseNumber(*Deadline)))
    return core::Error{core::ErrorCode::RequestMalformed, "control headers"};
  return std::nullopt;
}

std::optional<core::Error> Engine::readDialectFields(Call &New) {
  if (!Settings.Dialect)
    return std::nullopt;
  const auto Read = Settings.Dialect->readCaller(New.Head);
  if (!core::ok(Read))
    return core::failure(Read);
  New.CallerId = core::value(Read).RequestId;
  New.ParentId = core::value(Read).ParentId;
  New.TimeLeft = core::value(Read).TimeLeft;
  if (!New.FromNode) {
    New.Credential = core::value(Read).Credential;
    return std::nullopt;
  }
  const auto Terms =
      parseTerms(headerOf(New.Head.Fields, TermsField).value_or(""));
  if (!Terms)
    return core::Error{core::ErrorCode::RequestMalformed, TermsField};
  New.TimeLeft = Terms->TimeLeft;
  New.Terms = Terms->Terms;
  New.Terms->Repeat = New.Head.Fields.count(RepeatField) > 0;
  const auto Tenant = headerOf(New.Head.Fields, TenantField);
  if (Tenant && Tenant->starts_with(TenantMark))
    New.Terms->Tenant =
        core::TenantName(Tenant->substr(std::string_view(TenantMark).size()));
  return std::nullopt;
}

Call *Engine::find(core::CallId Id) {
  const auto Found = Calls.find(Id);
  return Found == Calls.end() ? nullptr : Found->second.get();
}

/// A body that is longer than what is kept goes to one target only, from the
/// time when its transfer begins.
void Engine::commitBody(Call &Of) {
  if (Of.Kept.size() <= KeptBodyBytes)
    return;
  Of.Streamed = true;
  Of.Kept.clear();
}

void Engine::takeBody(core::CallId Id, std::string_view Part) {
  Call *Of = find(Id);
  if (Of == nullptr)
    return;
  if (Of->FromNode)
    Uploads.receive(Id, Part.size());
  if (Of->Over)
    return;
  if (Of->Streamed) {
    if (Of->Current)
      Of->Current->writeBody(Part);
    return;
  }
  Of->Kept.append(Part);
  const bool Overflow = Of->Kept.size() > KeptBodyBytes;
  const bool Held = !Of->Current || Of->Current->holdsBody();
  if (Of->Current) {
    if (!Held)
      commitBody(*Of);
    Of->Current->writeBody(Part);
  }
  if (Overflow && Held) {
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
  Uploads.end(Id);
  if (Of->Current)
    Of->Current->finishBody();
  if (!Of->Arrived)
    arrive(*Of);
}

void Engine::arriveForResult(const Call &New) {
  const Headers &Fields = New.Head.Fields;
  request::KeptResultRequested Event;
  Event.Id = New.Id;
  Event.Owner = *New.KeptOwner;
  Event.Key = New.Key.value_or(core::IdempotencyKey());
  Event.RequestDigest = core::Digest(numberOf(Fields, KeptDigestField));
  Event.Deadline = wallTimeOf(numberOf(Fields, DeadlineField));
  handle(Event);
}

void Engine::arrive(Call &New) {
  New.Arrived = true;
  if (New.KeptOwner)
    return arriveForResult(New);
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
  Event.CallerId = New.CallerId;
  Event.ParentId = New.ParentId;
  Event.VirtualHost = headerOf(Fields, "Host").value_or("");
  // The times were stated with the head; the body may have come later.
  const auto Elapsed = std::chrono::duration_cast<core::Milliseconds>(
      Loop.now().Mono - New.Hop.Begin.Mono);
  Event.TimeLeft = New.TimeLeft;
  if (Event.TimeLeft)
    *Event.TimeLeft -= Elapsed;
  Event.Terms = New.Terms;
  if (Event.Terms)
    Event.Terms->ObjectiveLeft -= Elapsed;
  Event.Credential = New.Credential;
  Event.LinkWait = Bulk.wait();
  Event.UploadWait = Uploads.wait();
  Event.UploadRefused = New.UploadRefused;
  if (New.FromNode) {
    if (headerOf(Fields, DeadlineField))
      Event.Deadline = wallTimeOf(numberOf(Fields, DeadlineField));
    if (const auto Sender = headerOf(Fields, SenderField))
      Event.Sender = core::NodeId(*Sender);
    if (const auto Target = headerOf(Fields, TargetField))
      Event.Target = core::TargetId(*Target);
    Event.Crashes = static_cast<std::uint32_t>(numberOf(Fields, CrashesField));
    if (const auto Caller = headerOf(Fields, CallerField))
      Event.Caller = core::ServiceName(*Caller);
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
  Uploads.end(Id);
  // The last byte of an answer of known length may leave before the attempt
  // reports its end.
  if (Whole && Of->Current)
    return;
  if (!Of->Over) {
    Of->Over = true;
    endHop(*Of, 0);
    if (Of->Arrived)
      handle(request::CallerDisconnected{Id});
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
  execute(OnEvent(Happened));
}

void Engine::execute(const request::Effects &All) {
  for (const request::Effect &Do : All)
    execute(Do);
}

void Engine::execute(const request::Effect &Do) {
  std::visit(
      core::Overloaded{
          [this](const request::StartAttempt &E) { startAttempt(E); },
          [this](const request::DeliverAnswer &E) { deliver(E); },
          [this](const request::CancelAttempt &E) { cancelAttempt(E); },
          [this](const request::Refuse &E) { refuse(E); },
          [this](const request::RequestClaim &E) {
            forward(Others.OnClaim, E);
          },
          [this](const request::AnswerFromOwner &E) {
            forward(Others.OnAnswerFromOwner, E);
          },
          [this](const request::SendKeptAnswer &E) {
            answer(E.Id, decodeStored(*E.Answer));
          },
          [this](const request::ObservedAnswer &E) {
            forward(Others.OnObserved, E);
          },
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
    refuse(*Of, {What.Id,
                 request::Outcome::NotRun,
                 {core::ErrorCode::RequestTooLarge,
                  "body cannot be sent a second time"},
                 true});
    handle(request::CallerDisconnected{What.Id});
    return;
  }
  HttpClient::Request Sent;
  Sent.Method = Of->Head.Method;
  Sent.Url = "http://" + What.To.Address + Of->Head.Path;
  Sent.Fields = attemptFields(*Of, What, Settings.PeerKey, Loop.now(),
                              Settings.Dialect.get());
  if (!What.To.Local)
    Sent.Fields.emplace(SenderField, Settings.Self.value());
  Sent.Deadline = What.Deadline;
  Sent.FreshConnection = What.FreshConnection;
  Sent.AcceptUnframed = What.HoldAnswer && What.To.Local;
  Sent.DetectSilence = !What.To.Local;
  if (Settings.Dialect)
    Sent.MaxIdle =
        What.To.Local ? TargetIdleTime : Settings.PeerIdleTimeout / 2;
  Sent.ProvenConnection = What.NeedsVerifiedConnection;
  Sent.ContentLength = Of->DeclaredLength;
  if (Of->BodyWhole)
    Sent.ContentLength = Of->Kept.size();
  Of->Current =
      std::make_unique<Attempt>(*this, *Of, What, Settings.Dialect.get());
  const std::uint64_t BodyBytes =
      Sent.ContentLength.value_or(decide::UploadGate::AssumedBytes);
  Sent.AwaitContinue = Settings.Dialect && !What.To.Local &&
                       BodyBytes > decide::UploadGate::SmallBodyBytes;
  const bool AwaitsContinue = Sent.AwaitContinue;
  if (What.To.Local)
    Of->Current->begin(Targets, targets::TargetRequest{
                                    std::move(Sent),
                                    Settings.Dialect
                                        ? Of->CallerId
                                        : attemptIdentity(*Of, What.Attempt)});
  else
    Of->Current->begin(Client, std::move(Sent), AwaitsContinue);
  sendBody(*Of);
}

void Engine::sendBody(Call &Of) {
  Of.Current->writeBody(Of.Kept);
  if (Of.BodyWhole) {
    Of.Current->finishBody();
    return;
  }
  if (Of.Current->holdsBody() && Of.Kept.size() > KeptBodyBytes)
    return;
  commitBody(Of);
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
    refuse(*Of, What);
}

void Engine::refuse(Call &Of, const request::Refuse &What) {
  if (Of.Over || Of.Exchange == nullptr)
    return;
  Of.Over = true;
  Of.Current.reset();
  if (Of.AnswerStarted) {
    Of.Exchange->abort();
    return;
  }
  const bool NotRun = What.Result == request::Outcome::NotRun;
  const int Usual = NotRun ? 503 : 504;
  const int Status = What.Status != 0 ? What.Status : Usual;
  endHop(Of, Status);
  Of.Exchange->respond(Status, refusalText(What.Reason),
                       refusalFields(Of, What));
}

Headers Engine::refusalFields(const Call &Of,
                              const request::Refuse &What) const {
  if (Settings.Dialect && !Of.FromNode)
    return Settings.Dialect->refusalFields(What.RetryAfter);
  const bool NotRun = What.Result == request::Outcome::NotRun;
  Headers Fields = {{OutcomeField, NotRun ? "not-run" : "unknown"},
                    {RequestField, Of.RequestId},
                    {"Content-Type", "text/plain"}};
  if (What.Retried)
    Fields.emplace(RetriedField, "1");
  if (What.TargetCrashed)
    Fields.emplace(CrashedField, "1");
  if (What.ReachedTarget)
    Fields.emplace(ReachedField, "1");
  if (What.Load)
    Fields.emplace(LoadField, formatLoad(*What.Load));
  return Fields;
}

void Engine::deliver(const request::DeliverAnswer &What) {
  Call *Of = find(What.Id);
  if (Of == nullptr || Of->Over || Of->Exchange == nullptr || !Of->Held)
    return;
  Of->Over = true;
  StoredAnswer Answer = std::move(*Of->Held);
  Headers Fields = endToEnd(Answer.Fields);
  if (Of->FromNode)
    Fields.emplace(RequestField, Of->RequestId);
  if (Of->FromNode && What.Load)
    Fields.emplace(LoadField, formatLoad(*What.Load));
  endHop(*Of, Answer.Status);
  // The link of the host carries what goes to other nodes.
  if (Of->FromNode && Bulk.takes(Answer.Body.size())) {
    Of->Exchange->start({Answer.Status, std::move(Fields)}, Answer.Body.size());
    Bulk.send(What.Id, std::move(Answer.Body));
    return;
  }
  Of->Exchange->respond(Answer.Status, Answer.Body, std::move(Fields));
}

void Engine::askOwner(const request::AnswerFromOwner &What,
                      const std::string &PeerAddress) {
  const core::WallTime Deadline = core::toWall(What.Deadline, Loop.now());
  HttpClient::Request Ask;
  Ask.Url = "http://" + PeerAddress + "/";
  Ask.Deadline = What.Deadline;
  Ask.Fields = {
      {PeerKeyField, Settings.PeerKey},
      {RequestField, "kept-" + std::to_string(What.Id.value())},
      {KeyField, What.Key.value()},
      {KeptOwnerField, formatOwner(What.Owner)},
      {KeptDigestField, std::to_string(What.RequestDigest.value())},
      {DeadlineField, std::to_string(Deadline.time_since_epoch().count())}};
  Client.fetch(
      std::move(Ask), "",
      [this, Id = What.Id](ClientEnd End, int Status, const std::string &Body) {
        ownerReplied(Id, End, Status, Body);
      });
}

/// The owner sends the encoded answer as the body of a 200; anything else
/// leaves the outcome unknown, since the owner may have run the request.
void Engine::ownerReplied(core::CallId Id, ClientEnd End, int Status,
                          const std::string &Body) {
  const bool Whole = End == ClientEnd::Complete && Status == 200;
  const auto Stored = Whole ? decodeAnswer(Body) : std::nullopt;
  if (Stored)
    answer(Id, *Stored);
  handle(request::OwnerReplied{Id, Stored ? request::KeptResultState::Answered
                                          : request::KeptResultState::Unknown});
}

void Engine::answer(core::CallId Id, const StoredAnswer &Kept) {
  Call *Of = find(Id);
  if (Of == nullptr || Of->Over || Of->Exchange == nullptr)
    return;
  Of->Over = true;
  if (Of->KeptOwner) {
    Of->Exchange->respond(200, encodeAnswer(Kept),
                          {{RequestField, Of->RequestId}});
    return;
  }
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
