#include "filbertvane/io/HttpServer.h"
#include "HttpConnection.h"
#include <arpa/inet.h>
#include <array>
#include <netdb.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace filbertvane::io {

namespace {

constexpr int ListenBacklog = 1024;
/// Connections accepted in one loop iteration before other watchers get their
/// turn.
constexpr int MaxAcceptsPerIteration = 64;
/// Time without accepting after the process ran out of descriptors.
constexpr core::Milliseconds AcceptPause{100};
/// Interval at which idle connections are looked for.
constexpr core::Milliseconds SweepPeriod{1000};

/// @brief Opens a listening socket; -1 on failure.
int openListener(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return -1;
  std::string Host = Address.substr(0, Colon);
  if (Host.size() > 1 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  addrinfo Hints{};
  Hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
  Hints.ai_socktype = SOCK_STREAM;
  addrinfo *Found = nullptr;
  const std::string Port = Address.substr(Colon + 1);
  if (getaddrinfo(Host.c_str(), Port.c_str(), &Hints, &Found) != 0)
    return -1;
  const std::unique_ptr<addrinfo, decltype(&freeaddrinfo)> Owned(Found,
                                                                 freeaddrinfo);
  const int Fd =
      socket(Found->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Fd < 0)
    return -1;
  const int On = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  if (bind(Fd, Found->ai_addr, Found->ai_addrlen) == 0 &&
      ::listen(Fd, ListenBacklog) == 0)
    return Fd;
  close(Fd);
  return -1;
}

std::uint16_t portOf(int Fd) {
  sockaddr_storage Address{};
  socklen_t Size = sizeof Address;
  if (getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size) != 0)
    return 0;
  if (Address.ss_family == AF_INET)
    return ntohs(reinterpret_cast<sockaddr_in *>(&Address)->sin_port);
  return ntohs(reinterpret_cast<sockaddr_in6 *>(&Address)->sin6_port);
}

std::string addressText(const sockaddr_storage &Address) {
  std::array<char, INET6_ADDRSTRLEN> Text{};
  if (Address.ss_family == AF_INET) {
    const auto &V4 = reinterpret_cast<const sockaddr_in &>(Address);
    inet_ntop(AF_INET, &V4.sin_addr, Text.data(), Text.size());
    return std::string(Text.data()) + ":" + std::to_string(ntohs(V4.sin_port));
  }
  const auto &V6 = reinterpret_cast<const sockaddr_in6 &>(Address);
  inet_ntop(AF_INET6, &V6.sin6_addr, Text.data(), Text.size());
  return "[" + std::string(Text.data()) +
         "]:" + std::to_string(ntohs(V6.sin6_port));
}

class LoopServer final : public HttpServer, public ConnectionOwner {
public:
  LoopServer(EventLoop &Loop, const Options &Settings, Acceptor OnRequest)
      : Loop(Loop), MaxConnections(Settings.MaxConnections),
        MaxHeadBytes(Settings.MaxHeadBytes), IdleTimeout(Settings.IdleTimeout),
        Inputs(Settings.Inputs), ForNodes(Settings.FromNodes),
        OnRequest(std::move(OnRequest)), Soon(Loop, [this] { runWoken(); }),
        Sweep(Loop, [this] { sweep(); }),
        AcceptAgain(Loop, [this] { Listening->watch(Descriptor::Readable); }) {}
  ~LoopServer() override;

  bool open(const std::string &Address);
  void setIdleTimeout(core::Seconds Timeout) override { IdleTimeout = Timeout; }
  void closeAfterAnswers() override;
  void quiesce() override;
  std::size_t active() const override;
  std::uint16_t port() const override { return Port; }

private:
  /// @name ConnectionOwner
  /// @{
  std::unique_ptr<ExchangeHandler> accept(ServerExchange &Exchange) override {
    return OnRequest(Exchange);
  }
  void wake(HttpConnection &Connection) override;
  void takeHangups() override;
  core::TimePoint idleDeadline() const override { return now() + IdleTimeout; }
  core::TimePoint now() const override { return Loop.now().Mono; }
  InputBudget &inputs() override { return *Inputs; }
  bool isForNodes() const override { return ForNodes; }
  /// @}

  void acceptConnections();
  void add(int Fd, const sockaddr_storage &Address);
  bool makeRoom();
  void closeListener();
  void runWoken();
  void sweep();

  EventLoop &Loop;
  std::uint32_t MaxConnections;
  std::size_t MaxHeadBytes;
  core::Seconds IdleTimeout;
  std::shared_ptr<InputBudget> Inputs;
  bool ForNodes;
  Acceptor OnRequest;
  int ListenFd = -1;
  std::unique_ptr<Descriptor> Listening;
  /// A connection that is not read still has to notice that its caller leaves.
  int HangupFd = -1;
  std::unique_ptr<Descriptor> Hangups;
  std::uint16_t Port = 0;
  bool LastAnswers = false;
  bool Stopping = false;
  Timer Soon;
  Timer Sweep;
  Timer AcceptAgain;
  std::unordered_set<HttpConnection *> Woken;
  std::unordered_map<HttpConnection *, std::unique_ptr<HttpConnection>>
      Connections;
};

LoopServer::~LoopServer() {
  Stopping = true;
  closeListener();
  Connections.clear();
  Hangups.reset();
  if (HangupFd >= 0)
    ::close(HangupFd);
}

bool LoopServer::open(const std::string &Address) {
  ListenFd = openListener(Address);
  if (ListenFd < 0)
    return false;
  Port = portOf(ListenFd);
  HangupFd = epoll_create1(EPOLL_CLOEXEC);
  Listening = std::make_unique<Descriptor>(
      Loop, ListenFd, [this](int) { acceptConnections(); });
  Listening->watch(Descriptor::Readable);
  Hangups = std::make_unique<Descriptor>(Loop, HangupFd,
                                         [this](int) { takeHangups(); });
  Hangups->watch(Descriptor::Readable);
  Sweep.arm(now() + SweepPeriod);
  return true;
}

void LoopServer::acceptConnections() {
  for (int I = 0; I < MaxAcceptsPerIteration; ++I) {
    sockaddr_storage Address{};
    socklen_t Size = sizeof Address;
    const int Fd = accept4(ListenFd, reinterpret_cast<sockaddr *>(&Address),
                           &Size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Fd >= 0) {
      add(Fd, Address);
      continue;
    }
    if (errno == EMFILE || errno == ENFILE) {
      Listening->watch(Descriptor::None);
      AcceptAgain.arm(now() + AcceptPause);
    }
    if (errno != EINTR && errno != ECONNABORTED)
      return;
  }
}

void LoopServer::add(int Fd, const sockaddr_storage &Address) {
  if (Connections.size() >= MaxConnections && !makeRoom()) {
    ++Inputs->Refused.Full;
    ::close(Fd);
    return;
  }
  const int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  auto New = std::make_unique<HttpConnection>(
      Loop, *this, Fd, addressText(Address), MaxHeadBytes);
  if (LastAnswers)
    New->closeAfterAnswers();
  epoll_event Event{};
  Event.events = EPOLLRDHUP | EPOLLET;
  Event.data.ptr = New.get();
  epoll_ctl(HangupFd, EPOLL_CTL_ADD, Fd, &Event);
  Connections.emplace(New.get(), std::move(New));
}

/// @return whether a connection was closed for a new one
bool LoopServer::makeRoom() {
  std::vector<HttpConnection *> All;
  std::vector<decision::connections::ConnectionUse> Uses;
  for (const auto &[Key, Connection] : Connections) {
    All.push_back(Key);
    Uses.push_back(Connection->use());
  }
  const auto Chosen = decision::connections::closeForRoom(Uses);
  if (!Chosen)
    return false;
  HttpConnection *Closing = All[*Chosen];
  Inputs->Refused.Room += Closing->isClosed() ? 0 : 1;
  Closing->drop();
  Woken.erase(Closing);
  Connections.erase(Closing);
  return true;
}

void LoopServer::closeAfterAnswers() {
  LastAnswers = true;
  for (const auto &[Key, Connection] : Connections)
    Connection->closeAfterAnswers();
}

void LoopServer::quiesce() {
  closeAfterAnswers();
  closeListener();
}

void LoopServer::closeListener() {
  if (ListenFd < 0)
    return;
  AcceptAgain.cancel();
  Listening->watch(Descriptor::None);
  ::close(ListenFd);
  ListenFd = -1;
}

std::size_t LoopServer::active() const {
  std::size_t Sum = 0;
  for (const auto &[Key, Connection] : Connections)
    Sum += Connection->active();
  return Sum;
}

void LoopServer::wake(HttpConnection &Connection) {
  if (Stopping)
    return;
  if (Woken.empty())
    Soon.arm(now());
  Woken.insert(&Connection);
}

void LoopServer::runWoken() {
  const auto Waking = std::exchange(Woken, {});
  for (HttpConnection *Connection : Waking) {
    if (!Connection->isClosed())
      Connection->pump();
    if (!Connection->isClosed())
      continue;
    Woken.erase(Connection);
    Connections.erase(Connection);
  }
}

void LoopServer::takeHangups() {
  std::array<epoll_event, 64> Events;
  const int Count =
      epoll_wait(HangupFd, Events.data(), static_cast<int>(Events.size()), 0);
  for (int I = 0; I < Count; ++I)
    static_cast<HttpConnection *>(Events[static_cast<std::size_t>(I)].data.ptr)
        ->drop();
}

void LoopServer::sweep() {
  for (const auto &[Key, Connection] : Connections)
    Connection->closeIfExpired(now());
  Sweep.arm(now() + SweepPeriod);
}

} // namespace

core::Result<std::unique_ptr<HttpServer>>
HttpServer::listen(EventLoop &Loop, const Options &Settings,
                   Acceptor OnRequest) {
  auto Server =
      std::make_unique<LoopServer>(Loop, Settings, std::move(OnRequest));
  if (!Server->open(Settings.Address))
    return core::Error{core::ErrorCode::ProcessListenFailed, Settings.Address};
  return std::unique_ptr<HttpServer>(std::move(Server));
}

} // namespace filbertvane::io
