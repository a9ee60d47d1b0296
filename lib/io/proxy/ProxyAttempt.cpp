#include "KeptAnswerCodec.h"
#include "ProxyEngineImpl.h"
#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace filbertvane::io::proxy {

namespace {

/// The own host refuses a connection within microseconds; the loop must not
/// wait longer for a target whose accept queue is full.
constexpr int RefusalWaitMs = 5;

} // namespace

Attempt::Attempt(Engine &Owner, Call &Of, const request::StartAttempt &What,
                 const RequestDialect *Dialect)
    : Owner(Owner), Of(Of), What(What), Dialect(Dialect) {}

void Attempt::writeBody(std::string_view Part) {
  const std::size_t Queued = Request->writeBody(Part);
  if (Queued > QueueBoundBytes && Of.Exchange != nullptr)
    Of.Exchange->pauseBody(true);
}

void Attempt::onSendable() {
  HoldsBody = false;
  Owner.commitBody(Of);
  if (Of.Exchange != nullptr)
    Of.Exchange->pauseBody(false);
}

bool Attempt::identityMatches(const ResponseHead &Head) const {
  const auto Identity = headerOf(Head.Fields, RequestField);
  // A node always returns the identity; a target may not know it.
  if (!Identity)
    return What.To.Local;
  return *Identity == attemptIdentity(Of, What.Attempt);
}

void Attempt::onHead(const ResponseHead &Head) {
  Status = Head.Status;
  if (!identityMatches(Head)) {
    end(request::AttemptEnd::NoAnswer);
    return;
  }
  if (Dialect != nullptr && What.To.Local && !takeTargetHead(Head)) {
    end(request::AttemptEnd::NoAnswer);
    return;
  }
  if (!What.To.Local) {
    Reached = Head.Fields.count(ReachedField) > 0;
    Load = parseLoad(headerOf(Head.Fields, LoadField).value_or(""));
    if (Dialect != nullptr)
      Statement = Dialect->readAnswer(Head, Of.CallerId).Statement;
  }
  Retried = Head.Fields.count(RetriedField) > 0;
  Crashed = Head.Fields.count(CrashedField) > 0;
  const auto Outcome = headerOf(Head.Fields, OutcomeField);
  if (Outcome == "not-run")
    Marked = request::AttemptEnd::NotRun;
  else if (Outcome == "unknown")
    Marked = request::AttemptEnd::NoAnswer;
  if (Marked)
    return;
  if (What.HoldAnswer)
    HeldHead = Head;
  else
    passHead(Head);
}

bool Attempt::takeTargetHead(const ResponseHead &Head) {
  const TargetAnswer Answer = Dialect->readAnswer(Head, Of.CallerId);
  using Kind = TargetAnswer::Kind;
  Reached = true;
  Load = Answer.Load;
  Statement = Answer.Statement;
  Misdirected = Answer.What == Kind::Misdirected;
  if (Misdirected || Answer.What == Kind::NotRun)
    Marked = request::AttemptEnd::NotRun;
  return Answer.What != Kind::Foreign;
}

/// An answer that outgrows the bound is passed on from its first byte.
void Attempt::hold(std::string_view Part) {
  HeldBody.append(Part);
  Of.AnswerBytes.raiseTo(HeldBody.size());
  if (HeldBody.size() <= Of.AnswerBytes.maxHeld())
    return;
  const ResponseHead Head = std::move(*HeldHead);
  HeldHead.reset();
  const std::string Body = std::move(HeldBody);
  passHead(Head);
  if (Of.Exchange != nullptr && Request)
    Of.Exchange->write(Body);
}

void Attempt::passHead(const ResponseHead &Head) {
  Passed = true;
  Of.AnswerStarted = true;
  ResponseHead Out{Status, endToEnd(Head.Fields)};
  if (What.KeepAnswer)
    Answer = {Status, Out.Fields, {}};
  if (Dialect == nullptr || Of.FromNode)
    Out.Fields.emplace(RequestField, Of.RequestId);
  std::optional<std::uint64_t> Length;
  if (const auto Stated = headerOf(Head.Fields, "Content-Length"))
    Length = parseNumber(*Stated);
  if (Head.Fields.count("Transfer-Encoding") > 0)
    Length.reset();
  if (Of.Exchange != nullptr)
    Of.Exchange->start(Out, Length);
  // Last, because the effects may end this attempt.
  Owner.handle(request::AnswerStarted{Of.Id, What.Attempt, Status,
                                      Length.value_or(0), Statement});
}

void Attempt::onBody(std::string_view Part) {
  BodyBytes += Part.size();
  // A refusal counts only when it is whole; one without end never is.
  if (Marked && BodyBytes > HeldBytes::MaxHeld)
    return end(request::AttemptEnd::NoAnswer);
  if (Marked)
    return;
  if (HeldHead)
    return hold(Part);
  if (What.KeepAnswer && Answer.Body.size() <= StoredAnswerBytes)
    Answer.Body.append(Part);
  if (Of.Exchange == nullptr)
    return;
  const std::size_t Queued = Of.Exchange->write(Part);
  Of.AnswerBytes.raiseTo(Queued);
  if (Queued > Of.AnswerBytes.maxQueued())
    Request->pauseAnswer(true);
}

request::AttemptEnd Attempt::classify(ClientEnd End) const {
  if (End == ClientEnd::NotSent)
    return request::AttemptEnd::NotRun;
  if (Passed)
    return End == ClientEnd::Complete ? request::AttemptEnd::Answered
                                      : request::AttemptEnd::Truncated;
  if (End == ClientEnd::Complete && HeldHead)
    return request::AttemptEnd::Held;
  // A refusal counts only when it arrived whole.
  if (End == ClientEnd::Complete && Marked)
    return *Marked;
  return request::AttemptEnd::NoAnswer;
}

void Attempt::onEnd(ClientEnd End) {
  const request::AttemptEnd How = classify(End);
  Unreachable = End == ClientEnd::NotSent;
  if (How != request::AttemptEnd::Answered && What.To.Local &&
      End != ClientEnd::Complete)
    Crashed = refusesConnections(What.To.Address);
  end(How);
}

void Attempt::end(request::AttemptEnd How) {
  // Kept until the end of this function: the effects may start another attempt.
  const std::unique_ptr<Attempt> Self = std::move(Of.Current);
  const core::CallId Id = Of.Id;
  if (How == request::AttemptEnd::Held)
    Of.Held =
        StoredAnswer{Status, std::move(HeldHead->Fields), std::move(HeldBody)};
  if (How == request::AttemptEnd::Answered)
    Owner.answered(Of, Status);
  if (How == request::AttemptEnd::Truncated)
    Owner.brokenOff(Of, Status);
  Owner.handle(request::AttemptEnded{
      Id, What.Attempt, How, Status, Retried, Crashed, Unreachable,
      keptAnswer(), Reached, Misdirected, Load, BodyBytes, Statement});
  Owner.releaseIfOver(Id);
}

std::shared_ptr<const request::KeptAnswer> Attempt::keptAnswer() const {
  if (!What.KeepAnswer || !Passed || Answer.Body.size() > StoredAnswerBytes)
    return nullptr;
  return std::make_shared<const request::KeptAnswer>(
      request::KeptAnswer{Status, encodeAnswer(Answer)});
}

std::string attemptIdentity(const Call &Of, core::AttemptId Id) {
  return Of.RequestId + "/" + std::to_string(Id.value());
}

namespace {

/// Times between nodes of a mesh are durations, because the time of day of a
/// host may jump.
Headers dialectFields(Headers Fields, const Call &Of,
                      const request::StartAttempt &What,
                      const std::string &PeerKey, core::Instant Now,
                      const RequestDialect &Dialect) {
  const auto TimeLeft = std::max(
      std::chrono::duration_cast<core::Milliseconds>(What.Deadline - Now.Mono),
      core::Milliseconds(1));
  if (What.To.Local) {
    TargetTerms Told{What.To.Target, TimeLeft, What.Caller};
    if (What.Terms)
      Told.Tenant = What.Terms->Tenant;
    Dialect.setTargetFields(Fields, Told);
    return Fields;
  }
  if (What.Terms && What.Terms->Tenant) {
    Dialect.removeIdentity(Fields);
    Fields.emplace(TenantField, TenantMark + What.Terms->Tenant->value());
  }
  Fields.emplace(RequestField, attemptIdentity(Of, What.Attempt));
  if (!PeerKey.empty())
    Fields.emplace(PeerKeyField, PeerKey);
  Fields.emplace(TargetField, What.To.Target.value());
  Fields.emplace(CallerField, What.Caller.value());
  if (What.Terms && What.Terms->Repeat)
    Fields.emplace(RepeatField, "1");
  Fields.emplace(
      TermsField,
      formatTerms({TimeLeft, What.Terms.value_or(request::HopTerms{})}));
  return Fields;
}

} // namespace

Headers attemptFields(const Call &Of, const request::StartAttempt &What,
                      const std::string &PeerKey, core::Instant Now,
                      const RequestDialect *Dialect) {
  Headers Fields = endToEnd(Of.Head.Fields);
  if (Dialect != nullptr)
    return dialectFields(std::move(Fields), Of, What, PeerKey, Now, *Dialect);
  const core::WallTime Deadline = core::toWall(What.Deadline, Now);
  Fields.emplace(RequestField, attemptIdentity(Of, What.Attempt));
  Fields.emplace(DeadlineField,
                 std::to_string(Deadline.time_since_epoch().count()));
  Fields.erase("traceparent");
  Fields.emplace("traceparent", observe::toTraceParent(Of.Hop.Context));
  if (What.To.Local)
    return Fields;
  Fields.emplace(PeerKeyField, PeerKey);
  Fields.emplace(ServiceField, What.Service.value());
  Fields.emplace(VersionField, What.To.Version.value());
  if (!What.To.Target.value().empty())
    Fields.emplace(TargetField, What.To.Target.value());
  if (What.Crashes > 0)
    Fields.emplace(CrashesField, std::to_string(What.Crashes));
  if (Of.Key)
    Fields.emplace(KeyField, Of.Key->value());
  return Fields;
}

bool refusesConnections(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return false;
  sockaddr_in To{};
  To.sin_family = AF_INET;
  const auto Port = parseNumber(Address.substr(Colon + 1));
  To.sin_port = htons(static_cast<std::uint16_t>(Port.value_or(0)));
  if (inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &To.sin_addr) != 1)
    return false;
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int Result =
      connect(Fd, reinterpret_cast<const sockaddr *>(&To), sizeof To);
  const bool AtOnce = Result != 0 && errno == ECONNREFUSED;
  pollfd Wait{Fd, POLLOUT, 0};
  poll(&Wait, 1, RefusalWaitMs);
  int Fault = 0;
  socklen_t Size = sizeof Fault;
  getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Fault, &Size);
  const bool Refused = AtOnce || Fault == ECONNREFUSED;
  close(Fd);
  return Refused;
}

} // namespace filbertvane::io::proxy
