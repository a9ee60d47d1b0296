#ifndef FILBERTVANE_LIB_IO_CONTROL_SOCKET_H
#define FILBERTVANE_LIB_IO_CONTROL_SOCKET_H

#include <cstdint>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <utility>

namespace filbertvane::io::control {

/// @brief A descriptor that is closed with its owner.
class Socket {
public:
  explicit Socket(int Fd = -1) : Fd(Fd) {}
  Socket(Socket &&Other) noexcept : Fd(std::exchange(Other.Fd, -1)) {}
  Socket &operator=(Socket &&Other) noexcept {
    std::swap(Fd, Other.Fd);
    return *this;
  }
  ~Socket();

  int fd() const { return Fd; }
  bool open() const { return Fd >= 0; }

private:
  int Fd;
};

/// @brief Parses `ip:port` (IPv4).
std::optional<sockaddr_in> parseAddress(const std::string &Text);
std::string toText(const sockaddr_in &Address);

/// @brief Binds and listens, without blocking; not open on failure.
Socket listenOn(const sockaddr_in &Address);
/// @brief Starts a connection, without blocking; not open on failure.
Socket connectTo(const sockaddr_in &Address);
/// @brief Accepts one connection; not open when there is none.
Socket acceptFrom(const Socket &Listener);
/// @brief Address to which a socket is bound.
std::string boundAddress(const Socket &Which);
/// @brief Pending error of a socket, 0 when it is connected.
int pendingError(const Socket &Which);

} // namespace filbertvane::io::control

#endif // FILBERTVANE_LIB_IO_CONTROL_SOCKET_H
