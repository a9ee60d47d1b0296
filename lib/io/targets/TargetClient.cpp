#include "TargetClient.h"
#include "../RequestText.h"
#include <algorithm>
#include <functional>
#include <utility>

namespace filbertvane::io::targets {

namespace {

/// Idle time up to which a connection counts as proven.
constexpr core::Seconds ProvenIdleTime{1};

/// @brief The owner's side of a request.
class Request final : public ClientRequest {
public:
  Request(TargetClient &Client, std::shared_ptr<Transfer> State,
          std::weak_ptr<bool> ClientAlive)
      : Client(Client), State(std::move(State)),
        ClientAlive(std::move(ClientAlive)) {}
  ~Request() override {
    if (isInProgress())
      Client.cancel(State);
  }

  std::size_t writeBody(std::string_view Block) override {
    if (!isInProgress())
      return 0;
    State->writeBody(Block);
    if (!Block.empty())
      Client.wake(State);
    return State->Out.size();
  }
  void finishBody() override {
    State->finishBody();
    if (isInProgress())
      Client.wake(State);
  }
  void pauseAnswer(bool Paused) override {
    State->AnswerHeld = Paused;
    if (isInProgress() && !Paused)
      Client.wake(State);
  }

private:
  bool isInProgress() const {
    return !ClientAlive.expired() && State->Handler != nullptr;
  }

  TargetClient &Client;
  std::shared_ptr<Transfer> State;
  std::weak_ptr<bool> ClientAlive;
};

} // namespace

TargetClient::TargetClient(EventLoop &Loop, Options Settings)
    : Loop(Loop), Settings(std::move(Settings)),
      Soon(Loop, [this] { settle(); }) {}

TargetClient::~TargetClient() {
  Alive.reset();
  while (!Connections.empty())
    Connections.back()->abandon();
}

std::unique_ptr<ClientRequest> TargetClient::send(TargetRequest Message,
                                                  ClientHandler &Handler) {
  auto Starting = std::make_shared<Transfer>(std::move(Message), Handler);
  Queued.push_back(Starting);
  Soon.arm(now());
  return std::make_unique<Request>(*this, std::move(Starting), Alive);
}

void TargetClient::cancel(const std::shared_ptr<Transfer> &Cancelled) {
  Cancelled->Handler = nullptr;
  Finished.push_back(Cancelled);
  if (Cancelled->Connection != nullptr)
    Cancelled->Connection->abandon();
  Soon.arm(now());
}

void TargetClient::wake(const std::shared_ptr<Transfer> &Changed) {
  Woken.push_back(Changed);
  Soon.arm(now());
}

void TargetClient::settle() {
  Closed.clear();
  Finished.clear();
  for (const auto &Starting : std::exchange(Queued, {}))
    if (Starting->Handler != nullptr)
      begin(Starting);
  for (const auto &Changed : std::exchange(Woken, {}))
    if (Changed->Connection != nullptr)
      Changed->Connection->pump();
}

void TargetClient::begin(const std::shared_ptr<Transfer> &Starting) {
  const core::TimePoint Now = now();
  if (Now >= Starting->Request.Message.Deadline || !Starting->writeHead())
    return end(Starting, ClientEnd::NotSent);
  TargetConnection *Connection = findReusable(*Starting);
  if (Connection == nullptr)
    Connection = open(addressOf(Starting->Request.Message.Url));
  if (Connection == nullptr)
    return end(Starting, ClientEnd::NotSent);
  Starting->HandedOverAt = Now;
  Starting->Deadline = std::make_unique<Timer>(
      Loop, [this, Late = Starting.get()] { expire(*Late); });
  const core::TimePoint Deadline = Starting->Request.Message.Deadline;
  Starting->Deadline->arm(
      Connection->isConnected()
          ? Deadline
          : std::min(Deadline, Now + Settings.ConnectTimeout));
  Connection->start(Starting);
}

/// The deadline has passed, or the time to open a connection.
void TargetClient::expire(Transfer &Late) {
  if (Late.Connection == nullptr)
    return;
  const core::TimePoint Deadline = Late.Request.Message.Deadline;
  if (Late.Connection->isConnected() && now() < Deadline)
    return Late.Deadline->arm(Deadline);
  Late.Connection->expire();
}

bool TargetClient::canReuse(const TargetConnection &Connection,
                            const Transfer &For,
                            std::optional<core::Seconds> MaxAge) const {
  const core::TimePoint Now = now();
  const core::Microseconds Idle = Now - Connection.idleSince();
  return !(For.Request.Message.ProvenConnection && Idle >= ProvenIdleTime) &&
         !(MaxAge && Now - Connection.openedAt() > *MaxAge) &&
         !Connection.hasCarried(For.Request.Id);
}

void TargetClient::closeOverdue(const std::string &Address,
                                core::Seconds MaxIdle) {
  // Closing removes the connection from the list.
  for (std::size_t I = Connections.size(); I-- > 0;) {
    TargetConnection &Each = *Connections[I];
    if (Each.isIdle() && Each.address() == Address &&
        now() - Each.idleSince() > MaxIdle)
      Each.abandon();
  }
}

/// @return the idle connection that was in use last
TargetConnection *TargetClient::findReusable(const Transfer &For) {
  const HttpClient::Request &Message = For.Request.Message;
  const std::string Address = addressOf(Message.Url);
  closeOverdue(Address, Message.MaxIdle);
  const auto MaxAge = Silent.maxAge(Address, now());
  // A copy without an id, or with a body where a HEAD waits, cannot be told
  // from the answer.
  if (Message.FreshConnection || For.Request.Id.empty() ||
      Message.Method == "HEAD" || (MaxAge && MaxAge->count() <= 0))
    return nullptr;
  std::vector<TargetConnection *> Candidates;
  for (const auto &Each : Connections)
    if (Each->isIdle() && Each->address() == Address &&
        canReuse(*Each, For, MaxAge))
      Candidates.push_back(Each.get());
  std::ranges::sort(Candidates, std::greater<>(),
                    [](const auto *Each) { return Each->idleSince(); });
  const auto Found = std::ranges::find_if(
      Candidates, [](auto *Each) { return Each->checkIdle(); });
  return Found == Candidates.end() ? nullptr : *Found;
}

TargetConnection *TargetClient::open(const std::string &Address) {
  const auto To = control::parseAddress(Address);
  if (!To)
    return nullptr;
  control::Socket Opened = control::connectTo(*To);
  if (!Opened.open())
    return nullptr;
  Connections.push_back(std::make_unique<TargetConnection>(
      Loop, *this, std::move(Opened), Address));
  return Connections.back().get();
}

void TargetClient::end(const std::shared_ptr<Transfer> &Ended, ClientEnd How) {
  const core::TimePoint Now = now();
  const std::string Address = addressOf(Ended->Request.Message.Url);
  if (Ended->AnswerSeen)
    Silent.answered(Address, Now);
  else if (How == ClientEnd::TimedOut)
    Silent.timedOut(Address, Ended->HandedOverAt, Now);
  if (Ended->Deadline)
    Ended->Deadline->cancel();
  Finished.push_back(Ended);
  limitIdle();
  Soon.arm(Now);
  if (ClientHandler *Handler = std::exchange(Ended->Handler, nullptr))
    Handler->onEnd(How);
}

void TargetClient::dropped(const TargetConnection &Connection,
                           const ResponseHead &Head) {
  if (Settings.OnDropped)
    Settings.OnDropped(Connection.address(), Head);
}

void TargetClient::closed(TargetConnection &Connection) {
  const auto Found = std::ranges::find(
      Connections, &Connection, [](const auto &Each) { return Each.get(); });
  if (Found == Connections.end())
    return;
  Closed.push_back(std::move(*Found));
  Connections.erase(Found);
  Soon.arm(now());
}

void TargetClient::limitIdle() {
  if (Connections.size() <= Settings.IdleConnections)
    return;
  const auto Oldest =
      std::ranges::min_element(Connections, {}, [](const auto &Each) {
        return std::pair(!Each->isIdle(), Each->idleSince());
      });
  if ((*Oldest)->isIdle())
    (*Oldest)->abandon();
}

} // namespace filbertvane::io::targets
