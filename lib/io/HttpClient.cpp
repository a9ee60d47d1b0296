#include "filbertvane/io/HttpClient.h"
#include "CurlTransfer.h"
#include "SilentPeers.h"
#include <ev.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace filbertvane::io {

namespace {

class CurlClient;

/// @brief Watcher of one connection of libcurl.
struct ConnectionWatcher {
  ev_io Ev{};
  CurlClient *Client = nullptr;
};

class CurlClient final : public HttpClient {
public:
  CurlClient(EventLoop &Loop, const Options &Settings);
  ~CurlClient() override;
  const Options &options() const override { return Settings; }

  std::unique_ptr<ClientRequest> send(Request What,
                                      ClientHandler &Handler) override;
  void fetch(Request What, std::string Body,
             std::function<void(ClientEnd, int, std::string)> OnDone) override;

  /// @name Calls of requests and watchers
  /// @{
  void cancel(CurlTransfer &Transfer);
  void wake(CurlTransfer &Transfer);
  void ready(curl_socket_t Socket, int Events);
  /// @}

private:
  static int onSocket(CURL *, curl_socket_t Socket, int What, void *Client,
                      void *Watcher);
  static int onTimer(CURLM *, long Delay, void *Client);
  void watch(curl_socket_t Socket, int What, ConnectionWatcher *Watcher);
  void expire();
  void soon();
  void settle();
  void startQueued();
  void wakeQueued();
  void startNextTurn();
  void removeCancelled();
  bool endOne();
  void begin(CurlTransfer &Transfer);
  void end(CurlTransfer &Transfer, ClientEnd How);
  void release(CurlTransfer &Transfer);

  EventLoop &Loop;
  Options Settings;
  CURLM *Multi;
  Timer CurlTimer;
  Timer Soon;
  /// Fires after the other events of the loop had their turn.
  Timer NextTurn;
  bool SoonArmed = false;
  /// libcurl forbids most calls while it runs one of its callbacks.
  bool InCurl = false;
  bool Settling = false;
  SilentPeers Silent;
  std::unordered_map<CurlTransfer *, std::shared_ptr<CurlTransfer>> Transfers;
  std::vector<std::shared_ptr<CurlTransfer>> Queued;
  std::vector<std::shared_ptr<CurlTransfer>> Woken;
  std::vector<std::shared_ptr<CurlTransfer>> HeldBackTransfers;
  std::vector<std::shared_ptr<CurlTransfer>> Cancelled;

  class Fetch;
  std::unordered_map<Fetch *, std::unique_ptr<Fetch>> Fetches;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

/// @brief The owner's side of a request.
class CurlRequest final : public ClientRequest {
public:
  CurlRequest(CurlClient &Client, std::shared_ptr<CurlTransfer> Transfer,
              std::weak_ptr<bool> ClientAlive)
      : Client(Client), Transfer(std::move(Transfer)),
        ClientAlive(std::move(ClientAlive)) {}
  ~CurlRequest() override {
    if (underWay())
      Client.cancel(*Transfer);
  }

  std::size_t writeBody(std::string_view Part) override {
    if (!underWay())
      return 0;
    Transfer->Out.append(Part);
    Client.wake(*Transfer);
    return Transfer->Out.size();
  }
  void finishBody() override {
    Transfer->BodyFinished = true;
    if (underWay())
      Client.wake(*Transfer);
  }
  void pauseAnswer(bool Paused) override {
    Transfer->AnswerHeld = Paused;
    if (underWay() && !Paused)
      Client.wake(*Transfer);
  }

private:
  bool underWay() const {
    return !ClientAlive.expired() && Transfer->Handler != nullptr;
  }

  CurlClient &Client;
  std::shared_ptr<CurlTransfer> Transfer;
  std::weak_ptr<bool> ClientAlive;
};

/// @brief Handler of a request whose body and answer are small.
class CurlClient::Fetch final : public ClientHandler {
public:
  using Done = std::function<void(ClientEnd, int, std::string)>;
  Fetch(CurlClient &Client, Done OnDone)
      : Client(Client), OnDone(std::move(OnDone)) {}

  void begin(Request Outgoing, std::string_view Body) {
    Outgoing.ContentLength = Body.size();
    MaxBytes = Outgoing.MaxAnswerBytes;
    HeadArrived = Outgoing.OnHead;
    Sent = Client.send(std::move(Outgoing), *this);
    if (!Body.empty())
      Sent->writeBody(Body);
    Sent->finishBody();
  }
  void onHead(const ResponseHead &Head) override {
    Status = Head.Status;
    if (HeadArrived)
      HeadArrived(Head);
  }
  void onBody(std::string_view Part) override {
    Answer.append(Part);
    if (Answer.size() > MaxBytes)
      onEnd(ClientEnd::Failed);
  }
  void onSendable() override {}
  void onEnd(ClientEnd End) override {
    const auto Self = Client.Fetches.extract(this);
    const bool Whole = End == ClientEnd::Complete;
    OnDone(End, Whole ? Status : 0, Whole ? std::move(Answer) : std::string());
  }

private:
  CurlClient &Client;
  Done OnDone;
  std::unique_ptr<ClientRequest> Sent;
  std::function<void(const ResponseHead &)> HeadArrived;
  std::size_t MaxBytes = 0;
  int Status = 0;
  std::string Answer;
};

CurlClient::CurlClient(EventLoop &Loop, const Options &Settings)
    : Loop(Loop), Settings(Settings), Multi(curl_multi_init()),
      CurlTimer(Loop, [this] { expire(); }), Soon(Loop,
                                                  [this] {
                                                    SoonArmed = false;
                                                    settle();
                                                  }),
      NextTurn(Loop, [this] { startNextTurn(); }) {
  curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, onSocket);
  curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, onTimer);
  curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(Multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS,
                    static_cast<long>(Settings.IdleConnections));
}

CurlClient::~CurlClient() {
  Alive.reset();
  Fetches.clear();
  for (auto &[Key, Transfer] : Transfers) {
    Transfer->Handler = nullptr;
    if (Transfer->Added)
      curl_multi_remove_handle(Multi, Transfer->Easy);
    curl_easy_cleanup(Transfer->Easy);
  }
  curl_multi_cleanup(Multi);
}

std::unique_ptr<ClientRequest> CurlClient::send(Request What,
                                                ClientHandler &Handler) {
  auto Transfer = std::make_shared<CurlTransfer>(
      curl_easy_init(), std::move(What), Handler,
      [this](CurlTransfer &HeldBack) {
        HeldBackTransfers.push_back(Transfers.at(&HeldBack));
        NextTurn.arm(Loop.now().Mono);
      });
  Transfers.emplace(Transfer.get(), Transfer);
  Queued.push_back(Transfer);
  soon();
  return std::make_unique<CurlRequest>(*this, std::move(Transfer), Alive);
}

void CurlClient::fetch(
    Request What, std::string Body,
    std::function<void(ClientEnd, int, std::string)> OnDone) {
  auto Started = std::make_unique<Fetch>(*this, std::move(OnDone));
  Fetch *Key = Started.get();
  Fetches.emplace(Key, std::move(Started));
  Key->begin(std::move(What), Body);
}

void CurlClient::cancel(CurlTransfer &Transfer) {
  Transfer.Handler = nullptr;
  Cancelled.push_back(Transfers.at(&Transfer));
  soon();
}

void CurlClient::wake(CurlTransfer &Transfer) {
  Woken.push_back(Transfers.at(&Transfer));
  soon();
}

void CurlClient::soon() {
  if (SoonArmed || Settling)
    return;
  SoonArmed = true;
  Soon.arm(Loop.now().Mono);
}

void CurlClient::settle() {
  if (Settling || InCurl)
    return;
  Settling = true;
  do {
    removeCancelled();
    startQueued();
    wakeQueued();
    while (endOne()) {
    }
  } while (!Cancelled.empty() || !Queued.empty() || !Woken.empty());
  Settling = false;
}

void CurlClient::startQueued() {
  const auto Starting = std::exchange(Queued, {});
  for (const auto &Transfer : Starting)
    if (Transfer->Handler != nullptr)
      begin(*Transfer);
  if (Starting.empty())
    return;
  int Running = 0;
  InCurl = true;
  curl_multi_socket_action(Multi, CURL_SOCKET_TIMEOUT, 0, &Running);
  InCurl = false;
}

void CurlClient::begin(CurlTransfer &Transfer) {
  const core::TimePoint Now = Loop.now().Mono;
  Transfer.HandedOverAt = Now;
  const auto MaxAge = Silent.maxAge(Transfer.address(), Now);
  if (!Transfer.prepare(Settings, Now, MaxAge)) {
    end(Transfer, ClientEnd::NotSent);
    return;
  }
  Transfer.Added = true;
  InCurl = true;
  curl_multi_add_handle(Multi, Transfer.Easy);
  InCurl = false;
}

void CurlClient::wakeQueued() {
  const auto Waking = std::exchange(Woken, {});
  for (const auto &Transfer : Waking) {
    if (Transfer->Handler == nullptr || !Transfer->Added)
      continue;
    InCurl = true;
    Transfer->applyPauses();
    InCurl = false;
  }
}

void CurlClient::startNextTurn() {
  for (const auto &Transfer : std::exchange(HeldBackTransfers, {})) {
    Transfer->startTurn();
    Woken.push_back(Transfer);
  }
  settle();
}

void CurlClient::removeCancelled() {
  const auto Removing = std::exchange(Cancelled, {});
  for (const auto &Transfer : Removing)
    release(*Transfer);
}

void CurlClient::release(CurlTransfer &Transfer) {
  if (Transfer.Added) {
    InCurl = true;
    curl_multi_remove_handle(Multi, Transfer.Easy);
    InCurl = false;
  }
  // Handles are not reused: libcurl 7.88 joins a first header line that begins
  // with a blank to a freed line of the former answer.
  curl_easy_cleanup(Transfer.Easy);
  Transfers.erase(&Transfer);
}

bool CurlClient::endOne() {
  int Left = 0;
  const CURLMsg *Message = curl_multi_info_read(Multi, &Left);
  if (Message == nullptr)
    return false;
  char *Private = nullptr;
  curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Private);
  auto &Transfer = *reinterpret_cast<CurlTransfer *>(Private);
  // A cancelled transfer is released by `removeCancelled`.
  if (Transfer.Handler != nullptr)
    end(Transfer, Transfer.endOf(Message->data.result));
  return true;
}

void CurlClient::end(CurlTransfer &Transfer, ClientEnd How) {
  const core::TimePoint Now = Loop.now().Mono;
  if (Transfer.AnswerSeen)
    Silent.answered(Transfer.address(), Now);
  else if (How == ClientEnd::TimedOut)
    Silent.timedOut(Transfer.address(), Transfer.HandedOverAt, Now);
  ClientHandler *Handler = std::exchange(Transfer.Handler, nullptr);
  release(Transfer);
  Handler->onEnd(How);
}

int CurlClient::onSocket(CURL *, curl_socket_t Socket, int What, void *Client,
                         void *Watcher) {
  static_cast<CurlClient *>(Client)->watch(
      Socket, What, static_cast<ConnectionWatcher *>(Watcher));
  return 0;
}

void CurlClient::watch(curl_socket_t Socket, int What,
                       ConnectionWatcher *Watcher) {
  if (Watcher != nullptr)
    ev_io_stop(Loop.raw(), &Watcher->Ev);
  if (What == CURL_POLL_REMOVE) {
    curl_multi_assign(Multi, Socket, nullptr);
    delete Watcher;
    return;
  }
  if (Watcher == nullptr) {
    Watcher = new ConnectionWatcher;
    Watcher->Client = this;
    curl_multi_assign(Multi, Socket, Watcher);
  }
  const int Events = ((What & CURL_POLL_IN) != 0 ? EV_READ : 0) |
                     ((What & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
  const auto Call = [](struct ev_loop *, ev_io *Ev, int Ready) {
    auto *Found = static_cast<ConnectionWatcher *>(Ev->data);
    // The watcher may be deleted during the call.
    Found->Client->ready(Ev->fd, Ready);
  };
  ev_io_init(&Watcher->Ev, Call, Socket, Events);
  Watcher->Ev.data = Watcher;
  if (Events != 0)
    ev_io_start(Loop.raw(), &Watcher->Ev);
}

void CurlClient::ready(curl_socket_t Socket, int Events) {
  const int Mask = ((Events & EV_READ) != 0 ? CURL_CSELECT_IN : 0) |
                   ((Events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
  int Running = 0;
  InCurl = true;
  curl_multi_socket_action(Multi, Socket, Mask, &Running);
  InCurl = false;
  settle();
}

int CurlClient::onTimer(CURLM *, long Delay, void *Client) {
  auto &Self = *static_cast<CurlClient *>(Client);
  if (Delay < 0)
    Self.CurlTimer.cancel();
  else
    Self.CurlTimer.arm(Self.Loop.now().Mono + core::Milliseconds(Delay));
  return 0;
}

void CurlClient::expire() {
  int Running = 0;
  InCurl = true;
  curl_multi_socket_action(Multi, CURL_SOCKET_TIMEOUT, 0, &Running);
  InCurl = false;
  settle();
}

} // namespace

std::string_view nameOf(ClientEnd End) {
  switch (End) {
  case ClientEnd::Complete:
    return "complete";
  case ClientEnd::NotSent:
    return "no_connection";
  case ClientEnd::Failed:
    return "failed";
  case ClientEnd::TimedOut:
    return "timed_out";
  }
  return "";
}

std::unique_ptr<HttpClient> HttpClient::create(EventLoop &Loop,
                                               const Options &Settings) {
  static const CURLcode Initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(Initialised);
  return std::make_unique<CurlClient>(Loop, Settings);
}

} // namespace filbertvane::io
