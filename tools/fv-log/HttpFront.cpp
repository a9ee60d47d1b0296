#include "HttpFront.h"
#include <arpa/inet.h>
#include <microhttpd.h>

namespace filbertvane::tools {

namespace {

constexpr unsigned MaxConnections = 4096;

std::string argumentOf(MHD_Connection *Connection, const char *Name) {
  const char *Value =
      MHD_lookup_connection_value(Connection, MHD_GET_ARGUMENT_KIND, Name);
  return Value ? Value : "";
}

void addBody(Request &Asked, const char *Part, std::size_t Size) {
  Asked.BodyTooLarge =
      Asked.BodyTooLarge || Asked.Body.size() + Size > MaxRecordBytes;
  if (!Asked.BodyTooLarge)
    Asked.Body.append(Part, Size);
}

Exchange *startExchange(HttpFront &Front, MHD_Connection *Connection,
                        const char *Url, const char *Method) {
  auto *Started = new Exchange;
  Started->Connection = Connection;
  Started->Arrived = Front.now();
  Started->Asked.Method = Method;
  Started->Asked.Path = Url;
  Started->Asked.From = argumentOf(Connection, "from");
  Started->Asked.WaitMs = argumentOf(Connection, "wait_ms");
  Started->Asked.MaxBytes = argumentOf(Connection, "max_bytes");
  return Started;
}

MHD_Result onRequest(void *Owner, MHD_Connection *Connection, const char *Url,
                     const char *Method, const char *, const char *Upload,
                     std::size_t *UploadSize, void **Slot) {
  HttpFront &Front = *static_cast<HttpFront *>(Owner);
  if (!*Slot) {
    *Slot = startExchange(Front, Connection, Url, Method);
    return MHD_YES;
  }
  Exchange &Asking = *static_cast<Exchange *>(*Slot);
  if (*UploadSize > 0) {
    addBody(Asking.Asked, Upload, *UploadSize);
    *UploadSize = 0;
    return MHD_YES;
  }
  return Front.onWhole(Asking) ? MHD_YES : MHD_NO;
}

void onCompleted(void *Owner, MHD_Connection *, void **Slot,
                 MHD_RequestTerminationCode) {
  static_cast<HttpFront *>(Owner)->onClosed(static_cast<Exchange *>(*Slot));
  *Slot = nullptr;
}

bool sendAnswer(MHD_Connection *Connection, const Answer &Out) {
  // libmicrohttpd copies the body; its parameter is not const.
  MHD_Response *Response = MHD_create_response_from_buffer(
      Out.Body.size(), const_cast<char *>(Out.Body.data()),
      MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(Response, "Content-Type", Out.Type.c_str());
  const MHD_Result Queued = MHD_queue_response(
      Connection, static_cast<unsigned>(Out.Status), Response);
  MHD_destroy_response(Response);
  return Queued == MHD_YES;
}

} // namespace

HttpFront::HttpFront(io::EventLoop &Loop, LogService &Service)
    : Loop(Loop), Service(Service), Wakeup(Loop, [this] { wakeDue(); }) {}

HttpFront::~HttpFront() {
  if (!Daemon)
    return;
  // libmicrohttpd does not stop while connections are suspended.
  while (!Suspended.empty())
    wake(**Suspended.begin());
  Epoll.reset();
  MHD_stop_daemon(Daemon);
}

bool HttpFront::listen(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, Port, nullptr, nullptr,
      &onRequest, this, MHD_OPTION_SOCK_ADDR, &Address,
      MHD_OPTION_CONNECTION_LIMIT, MaxConnections, MHD_OPTION_NOTIFY_COMPLETED,
      &onCompleted, this, MHD_OPTION_END);
  if (!Daemon)
    return false;
  const MHD_DaemonInfo *Info =
      MHD_get_daemon_info(Daemon, MHD_DAEMON_INFO_EPOLL_FD);
  Epoll = std::make_unique<io::Descriptor>(Loop, Info->epoll_fd,
                                           [this](int) { run(); });
  Epoll->watch(io::Descriptor::Readable);
  return true;
}

bool HttpFront::onWhole(Exchange &Asking) {
  if (Asking.Held)
    return sendAnswer(Asking.Connection, *Asking.Held);
  return act(Asking, Service.handle(Asking.Asked, Asking.Arrived, now()));
}

void HttpFront::onClosed(Exchange *Asking) {
  Suspended.erase(Asking);
  delete Asking;
}

bool HttpFront::act(Exchange &Asking, const Reply &Wanted) {
  // An append whose acknowledgement is lost has taken effect as well.
  if (Asking.Asked.Method == "POST")
    wakeStream(Asking.Asked.Path);
  if (std::holds_alternative<Drop>(Wanted))
    return false;
  if (const auto *Later = std::get_if<Wait>(&Wanted)) {
    Asking.WaitsFor = Asking.Asked.Path;
    Asking.WakeAt = Later->Until;
    return hold(Asking);
  }
  const Answer &Out = std::get<Answer>(Wanted);
  if (Out.NotBefore <= now())
    return sendAnswer(Asking.Connection, Out);
  Asking.Held = Out;
  Asking.WaitsFor.clear();
  Asking.WakeAt = Out.NotBefore;
  return hold(Asking);
}

bool HttpFront::hold(Exchange &Asking) {
  Suspended.insert(&Asking);
  MHD_suspend_connection(Asking.Connection);
  armTimer();
  return true;
}

void HttpFront::wake(Exchange &Asking) {
  Suspended.erase(&Asking);
  MHD_resume_connection(Asking.Connection);
}

void HttpFront::wakeStream(const std::string &Path) {
  // New faults concern requests that wait as well.
  const bool WakesAll = Path == "/faults";
  for (auto Each = Suspended.begin(); Each != Suspended.end();) {
    Exchange &Waiting = **Each++;
    if (!Waiting.WaitsFor.empty() && (WakesAll || Waiting.WaitsFor == Path))
      wake(Waiting);
  }
  Wakeup.arm(now());
}

void HttpFront::wakeDue() {
  const core::TimePoint Now = now();
  for (auto Each = Suspended.begin(); Each != Suspended.end();) {
    Exchange &Waiting = **Each++;
    if (Waiting.WakeAt <= Now)
      wake(Waiting);
  }
  run();
}

void HttpFront::run() {
  MHD_run(Daemon);
  armTimer();
}

void HttpFront::armTimer() {
  MHD_UNSIGNED_LONG_LONG Millis = 0;
  std::optional<core::TimePoint> Next;
  if (MHD_get_timeout(Daemon, &Millis) == MHD_YES)
    Next = now() + core::Milliseconds(Millis);
  for (const Exchange *Each : Suspended)
    Next = std::min(Next.value_or(Each->WakeAt), Each->WakeAt);
  if (Next)
    Wakeup.arm(*Next);
}

} // namespace filbertvane::tools
