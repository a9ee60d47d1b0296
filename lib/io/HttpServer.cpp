#include "filbertvane/io/HttpServer.h"
#include "MhdExchange.h"
#include <arpa/inet.h>
#include <fmt/format.h>
#include <netdb.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <unordered_map>

namespace filbertvane::io {

namespace {

/// Memory of libmicrohttpd per connection; heads up to `MaxHeadBytes` and its
/// own buffers have to fit.
constexpr std::size_t ConnectionMemoryBytes = std::size_t{64} * 1024;
constexpr int ListenBacklog = 1024;
/// Runs of libmicrohttpd in one loop iteration before other watchers get their
/// turn.
constexpr int MaxRunsPerIteration = 8;

/// @brief A caller's connection and its request in progress.
struct CallerSocket {
  MhdExchange *Current = nullptr;
  bool Closing = false;
};

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

class MhdServer final : public HttpServer {
public:
  MhdServer(EventLoop &Loop, const Options &Settings, Acceptor OnRequest)
      : Loop(Loop), MaxHeadBytes(Settings.MaxHeadBytes),
        IdleTimeout(Settings.IdleTimeout), OnRequest(std::move(OnRequest)),
        Timeout(Loop, [this] { pump(); }) {}
  ~MhdServer() override;

  bool open(const Options &Settings);
  void setIdleTimeout(core::Seconds Timeout) override { IdleTimeout = Timeout; }
  void closeAfterAnswers() override;
  void quiesce() override;
  std::size_t active() const override { return Exchanges.size(); }
  std::uint16_t port() const override { return Port; }

private:
  /// @name Calls of libmicrohttpd
  /// @{
  static MHD_Result onAccess(void *Server, MHD_Connection *Connection,
                             const char *Url, const char *Method,
                             const char *Version, const char *Data,
                             std::size_t *Size, void **Context);
  static void *onRequestLine(void *Server, const char *Uri,
                             MHD_Connection *Connection);
  static void onCompleted(void *Server, MHD_Connection *Connection,
                          void **Context, MHD_RequestTerminationCode How);
  static void onConnection(void *Server, MHD_Connection *Connection,
                           void **Context, MHD_ConnectionNotificationCode What);
  /// @}

  MHD_Result access(MHD_Connection *Connection, MhdExchange &Exchange,
                    const char *Method, const char *Version, const char *Data,
                    std::size_t *Size);
  void pump();
  void pumpSoon();
  void takeHangups();

  EventLoop &Loop;
  std::size_t MaxHeadBytes;
  core::Seconds IdleTimeout;
  Acceptor OnRequest;
  Timer Timeout;
  MHD_Daemon *Daemon = nullptr;
  std::unique_ptr<Descriptor> Ready;
  /// libmicrohttpd does not watch a suspended connection, so that a caller that
  /// goes away is noticed by this second epoll descriptor.
  int HangupFd = -1;
  std::unique_ptr<Descriptor> Hangups;
  std::uint16_t Port = 0;
  bool Quiescing = false;
  bool LastAnswers = false;
  bool Pumping = false;
  bool RunAgain = false;
  bool Stopping = false;
  std::unordered_map<MhdExchange *, std::unique_ptr<MhdExchange>> Exchanges;
};

MhdServer::~MhdServer() {
  Stopping = true;
  if (Daemon != nullptr) {
    // libmicrohttpd stops the process when a connection is still suspended.
    for (auto &[Key, Exchange] : Exchanges) {
      Exchange->abort();
      Exchange->resume();
    }
    Ready.reset();
    MHD_stop_daemon(Daemon);
  }
  Hangups.reset();
  if (HangupFd >= 0)
    ::close(HangupFd);
}

bool MhdServer::open(const Options &Settings) {
  const int Listener = openListener(Settings.Address);
  if (Listener < 0)
    return false;
  Port = portOf(Listener);
  HangupFd = epoll_create1(EPOLL_CLOEXEC);
  Daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr, onAccess,
      this, MHD_OPTION_LISTEN_SOCKET, Listener, MHD_OPTION_CONNECTION_LIMIT,
      Settings.MaxConnections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      ConnectionMemoryBytes, MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned>(Settings.IdleTimeout.count()),
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK,
      onRequestLine, this, MHD_OPTION_NOTIFY_COMPLETED, onCompleted, this,
      MHD_OPTION_NOTIFY_CONNECTION, onConnection, this, MHD_OPTION_END);
  if (Daemon == nullptr) {
    ::close(Listener);
    return false;
  }
  const MHD_DaemonInfo *Info =
      MHD_get_daemon_info(Daemon, MHD_DAEMON_INFO_EPOLL_FD);
  Ready = std::make_unique<Descriptor>(Loop, Info->epoll_fd,
                                       [this](int) { pump(); });
  Ready->watch(Descriptor::Readable);
  Hangups = std::make_unique<Descriptor>(Loop, HangupFd,
                                         [this](int) { takeHangups(); });
  Hangups->watch(Descriptor::Readable);
  pump();
  return true;
}

void MhdServer::closeAfterAnswers() {
  LastAnswers = true;
  for (auto &[Key, Exchange] : Exchanges)
    Exchange->closeAfterAnswer();
}

void MhdServer::quiesce() {
  if (Quiescing)
    return;
  Quiescing = true;
  closeAfterAnswers();
  const int Listener = MHD_quiesce_daemon(Daemon);
  if (Listener >= 0)
    ::close(Listener);
}

void MhdServer::pump() {
  for (int Run = 0; Run < MaxRunsPerIteration; ++Run) {
    Pumping = true;
    RunAgain = false;
    MHD_run(Daemon);
    Pumping = false;
    if (RunAgain)
      continue;
    MHD_UNSIGNED_LONG_LONG Left = 0;
    if (MHD_get_timeout(Daemon, &Left) != MHD_YES) {
      Timeout.cancel();
      return;
    }
    if (Left == 0)
      continue;
    Timeout.arm(Loop.now().Mono + core::Milliseconds(Left));
    return;
  }
  Timeout.arm(Loop.now().Mono);
}

void MhdServer::pumpSoon() {
  // With external polling, a resumed connection does not make the epoll
  // descriptor ready.
  RunAgain = true;
  if (!Pumping && !Stopping)
    Timeout.arm(Loop.now().Mono);
}

void MhdServer::takeHangups() {
  epoll_event Events[64];
  const int Count = epoll_wait(HangupFd, Events, 64, 0);
  for (int I = 0; I < Count; ++I) {
    auto *Socket = static_cast<CallerSocket *>(Events[I].data.ptr);
    Socket->Closing = true;
    if (Socket->Current != nullptr)
      Socket->Current->drop();
  }
}

MHD_Result MhdServer::onAccess(void *Server, MHD_Connection *Connection,
                               const char *, const char *Method,
                               const char *Version, const char *Data,
                               std::size_t *Size, void **Context) {
  auto &Exchange = *static_cast<MhdExchange *>(*Context);
  return static_cast<MhdServer *>(Server)->access(Connection, Exchange, Method,
                                                  Version, Data, Size);
}

MHD_Result MhdServer::access(MHD_Connection *Connection, MhdExchange &Exchange,
                             const char *Method, const char *Version,
                             const char *Data, std::size_t *Size) {
  if (Stopping)
    return MHD_NO;
  if (Exchange.headSeen())
    return Exchange.takeBody(Data, Size);
  const MHD_ConnectionInfo *Info =
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  auto *Socket = static_cast<CallerSocket *>(Info->socket_context);
  // After a pause of the process, a request and the close that followed it can
  // be waiting together.
  takeHangups();
  if (Socket->Closing)
    return MHD_NO;
  Socket->Current = &Exchange;
  if (LastAnswers)
    Exchange.closeAfterAnswer();
  return Exchange.takeHead(Connection, Method, Version, MaxHeadBytes,
                           OnRequest);
}

void *MhdServer::onRequestLine(void *Server, const char *Uri,
                               MHD_Connection *) {
  auto &Self = *static_cast<MhdServer *>(Server);
  auto Exchange =
      std::make_unique<MhdExchange>(Uri, [&Self] { Self.pumpSoon(); });
  MhdExchange *Key = Exchange.get();
  Self.Exchanges.emplace(Key, std::move(Exchange));
  return Key;
}

void MhdServer::onCompleted(void *Server, MHD_Connection *Connection,
                            void **Context, MHD_RequestTerminationCode How) {
  auto *Exchange = static_cast<MhdExchange *>(*Context);
  if (Exchange == nullptr)
    return;
  const MHD_ConnectionInfo *Info =
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  if (Info != nullptr && Info->socket_context != nullptr)
    static_cast<CallerSocket *>(Info->socket_context)->Current = nullptr;
  Exchange->close(How == MHD_REQUEST_TERMINATED_COMPLETED_OK);
  static_cast<MhdServer *>(Server)->Exchanges.erase(Exchange);
  *Context = nullptr;
}

void MhdServer::onConnection(void *Server, MHD_Connection *Connection,
                             void **Context,
                             MHD_ConnectionNotificationCode What) {
  if (What == MHD_CONNECTION_NOTIFY_CLOSED) {
    delete static_cast<CallerSocket *>(*Context);
    *Context = nullptr;
    return;
  }
  auto *Socket = new CallerSocket;
  *Context = Socket;
  const MHD_ConnectionInfo *Info =
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  epoll_event Event{};
  Event.events = EPOLLRDHUP | EPOLLET;
  Event.data.ptr = Socket;
  const auto &Self = *static_cast<MhdServer *>(Server);
  MHD_set_connection_option(Connection, MHD_CONNECTION_OPTION_TIMEOUT,
                            static_cast<unsigned>(Self.IdleTimeout.count()));
  epoll_ctl(Self.HangupFd, EPOLL_CTL_ADD, Info->connect_fd, &Event);
}

} // namespace

core::Result<std::unique_ptr<HttpServer>>
HttpServer::listen(EventLoop &Loop, const Options &Settings,
                   Acceptor OnRequest) {
  auto Server =
      std::make_unique<MhdServer>(Loop, Settings, std::move(OnRequest));
  if (!Server->open(Settings))
    return core::Error{core::ErrorCode::ProcessListenFailed, Settings.Address};
  return std::unique_ptr<HttpServer>(std::move(Server));
}

} // namespace filbertvane::io
