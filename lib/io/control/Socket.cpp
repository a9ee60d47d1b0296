#include "Socket.h"
#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace filbertvane::io::control {

namespace {

constexpr int Backlog = 512;

const sockaddr *generic(const sockaddr_in &Address) {
  return reinterpret_cast<const sockaddr *>(&Address);
}

/// Small frames must not wait for each other.
void sendAtOnce(const Socket &Which) {
  const int On = 1;
  setsockopt(Which.fd(), IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

} // namespace

Socket::~Socket() {
  if (Fd >= 0)
    ::close(Fd);
}

std::optional<sockaddr_in> parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  if (inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Address.sin_addr) != 1)
    return std::nullopt;
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  Address.sin_port = htons(Port);
  return Address;
}

std::string toText(const sockaddr_in &Address) {
  char Ip[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Address.sin_addr, Ip, sizeof(Ip));
  return fmt::format("{}:{}", Ip, ntohs(Address.sin_port));
}

Socket listenOn(const sockaddr_in &Address) {
  Socket Listener(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int On = 1;
  setsockopt(Listener.fd(), SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  if (::bind(Listener.fd(), generic(Address), sizeof(Address)) != 0 ||
      ::listen(Listener.fd(), Backlog) != 0)
    return Socket();
  return Listener;
}

Socket connectTo(const sockaddr_in &Address) {
  Socket Out(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!Out.open())
    return Out;
  sendAtOnce(Out);
  if (::connect(Out.fd(), generic(Address), sizeof(Address)) != 0 &&
      errno != EINPROGRESS)
    return Socket();
  return Out;
}

Socket acceptFrom(const Socket &Listener) {
  Socket In(
      ::accept4(Listener.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (In.open())
    sendAtOnce(In);
  return In;
}

std::string boundAddress(const Socket &Which) {
  sockaddr_in Address{};
  socklen_t Length = sizeof(Address);
  getsockname(Which.fd(), reinterpret_cast<sockaddr *>(&Address), &Length);
  return toText(Address);
}

int pendingError(const Socket &Which) {
  int Failure = 0;
  socklen_t Length = sizeof(Failure);
  if (getsockopt(Which.fd(), SOL_SOCKET, SO_ERROR, &Failure, &Length) != 0)
    return errno;
  return Failure;
}

} // namespace filbertvane::io::control
