#include "Link.h"
#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <tuple>
#include <unistd.h>

namespace filbertvane::tools {

namespace {

constexpr int Backlog = 1024;

std::optional<sockaddr_in> parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  const int Port = std::atoi(Text.c_str() + Colon + 1);
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  if (inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Address.sin_addr) != 1)
    return std::nullopt;
  return Address;
}

int newSocket() {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  return Fd;
}

} // namespace

struct Link::Pair {
  Pair(io::EventLoop &Loop, int Near, int Far, core::Milliseconds Delay,
       const std::function<void()> &OnOver)
      : Near(Near), Far(Far), Forth(Loop, Near, Far, Delay, OnOver),
        Back(Loop, Far, Near, Delay, OnOver),
        NearWatch(Loop, Near, [this](int Ready) { ready(Forth, Back, Ready); }),
        FarWatch(Loop, Far, [this](int Ready) { ready(Back, Forth, Ready); }) {
    Forth.OnInterest = Back.OnInterest = [this] { watch(); };
    watch();
  }
  ~Pair() {
    NearWatch.watch(io::Descriptor::None);
    FarWatch.watch(io::Descriptor::None);
    close(Near);
    close(Far);
  }

  /// Reading from a socket feeds one stream, writing to it drains the other.
  static void ready(Stream &Reads, Stream &Writes, int Ready) {
    if ((Ready & io::Descriptor::Writable) != 0)
      Writes.onWritable();
    if ((Ready & io::Descriptor::Readable) != 0)
      Reads.onReadable();
  }
  void watch() {
    const auto Interests = [](const Stream &Reads, const Stream &Writes) {
      return (Reads.wantsRead() ? io::Descriptor::Readable : 0) |
             (Writes.wantsWrite() ? io::Descriptor::Writable : 0);
    };
    NearWatch.watch(Interests(Forth, Back));
    FarWatch.watch(Interests(Back, Forth));
  }
  void silence() {
    Forth.setSilent(true);
    Back.setSilent(true);
    Silent = true;
  }

  int Near;
  int Far;
  bool Silent = false;
  /// A direction ended; the pair is deleted by `removeEnded`.
  bool Ended = false;
  Stream Forth;
  Stream Back;
  io::Descriptor NearWatch;
  io::Descriptor FarWatch;
};

Link::Link(io::EventLoop &Loop, std::string Target, core::Milliseconds Delay)
    : Loop(Loop), Target(std::move(Target)), Delay(Delay),
      Sweep(Loop, [this] { removeEnded(); }) {}

void Link::removeEnded() {
  std::erase_if(Pairs, [](const auto &Entry) { return Entry.second->Ended; });
}

Link::~Link() {
  Pairs.clear();
  Incoming.reset();
  if (Listener >= 0)
    close(Listener);
}

bool Link::open(const std::string &Address) {
  const auto Parsed = parseAddress(Address);
  if (!Parsed || !parseAddress(Target))
    return false;
  Listener = newSocket();
  const int On = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  sockaddr_in Bound = *Parsed;
  socklen_t Size = sizeof Bound;
  if (bind(Listener, reinterpret_cast<sockaddr *>(&Bound), Size) != 0 ||
      listen(Listener, Backlog) != 0)
    return false;
  getsockname(Listener, reinterpret_cast<sockaddr *>(&Bound), &Size);
  Port = ntohs(Bound.sin_port);
  Incoming = std::make_unique<io::Descriptor>(Loop, Listener,
                                              [this](int) { acceptOne(); });
  Incoming->watch(io::Descriptor::Readable);
  return true;
}

void Link::acceptOne() {
  const int Near =
      accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (Near < 0)
    return;
  if (Now == Mode::Cut) {
    close(Near);
    return;
  }
  const int On = 1;
  setsockopt(Near, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  const int Far = newSocket();
  const sockaddr_in To = *parseAddress(Target);
  // A refusal shows as an error of the first write or read.
  std::ignore =
      connect(Far, reinterpret_cast<const sockaddr *>(&To), sizeof To);
  const std::uint64_t Id = ++NextPair;
  // The call comes from inside the pair, which therefore goes later.
  const auto Over = [this, Id] {
    const auto Found = Pairs.find(Id);
    if (Found == Pairs.end() || Found->second->Ended)
      return;
    Found->second->Ended = true;
    Sweep.arm(Loop.now().Mono);
  };
  auto Made = std::make_unique<Pair>(Loop, Near, Far, Delay, Over);
  if (Now == Mode::Silent)
    Made->silence();
  Pairs.emplace(Id, std::move(Made));
}

void Link::cut() {
  Now = Mode::Cut;
  Pairs.clear();
}

void Link::silence() {
  Now = Mode::Silent;
  silenceOpen();
}

void Link::silenceOpen() {
  for (auto &[Id, Open] : Pairs)
    Open->silence();
}

std::string Link::statusJson() const {
  std::size_t Silent = 0;
  for (const auto &[Id, Open] : Pairs)
    Silent += Open->Silent ? 1 : 0;
  const char *Names[] = {"healthy", "cut", "silent"};
  return fmt::format("{{\"mode\":\"{}\",\"open\":{},\"silent\":{}}}",
                     Names[static_cast<int>(Now)], Pairs.size(), Silent);
}

} // namespace filbertvane::tools
