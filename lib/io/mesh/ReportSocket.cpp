#include "ReportSocket.h"
#include <arpa/inet.h>
#include <array>
#include <sys/socket.h>
#include <unistd.h>

namespace filbertvane::io::mesh {

namespace {

constexpr std::size_t MaxDatagramBytes = 65536;
/// Datagrams taken in one turn of the loop before others get theirs.
constexpr int MostPerTurn = 64;

bool fill(sockaddr_in &To, const std::string &Address, std::uint16_t Port) {
  To = {};
  To.sin_family = AF_INET;
  To.sin_port = htons(Port);
  return inet_pton(AF_INET, Address.c_str(), &To.sin_addr) == 1;
}

} // namespace

core::Result<std::unique_ptr<ReportSocket>>
ReportSocket::open(EventLoop &Loop, const std::string &Address,
                   std::uint16_t Port, Receiver OnDatagram) {
  sockaddr_in Own{};
  const int Fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Fd < 0 || !fill(Own, Address, Port) ||
      bind(Fd, reinterpret_cast<const sockaddr *>(&Own), sizeof Own) != 0) {
    if (Fd >= 0)
      close(Fd);
    return core::Error{core::ErrorCode::ProcessListenFailed,
                       Address + ":" + std::to_string(Port)};
  }
  return std::make_unique<ReportSocket>(Loop, Fd, Port, std::move(OnDatagram));
}

ReportSocket::ReportSocket(EventLoop &Loop, int Fd, std::uint16_t Port,
                           Receiver OnDatagram)
    : Fd(Fd), Port(Port), OnDatagram(std::move(OnDatagram)),
      Readable(Loop, Fd, [this](int) { receive(); }) {
  Readable.watch(Descriptor::Readable);
}

ReportSocket::~ReportSocket() { close(Fd); }

std::size_t ReportSocket::send(const std::string &Bytes,
                               const std::vector<std::string> &Addresses) {
  std::size_t Dropped = 0;
  for (const std::string &Address : Addresses) {
    sockaddr_in To{};
    if (!fill(To, Address, Port) ||
        sendto(Fd, Bytes.data(), Bytes.size(), 0,
               reinterpret_cast<const sockaddr *>(&To), sizeof To) < 0)
      ++Dropped;
  }
  return Dropped;
}

void ReportSocket::receive() {
  static std::array<char, MaxDatagramBytes> Buffer;
  for (int I = 0; I < MostPerTurn; ++I) {
    const ssize_t Size = recv(Fd, Buffer.data(), Buffer.size(), 0);
    if (Size < 0)
      return;
    OnDatagram({Buffer.data(), static_cast<std::size_t>(Size)});
  }
}

} // namespace filbertvane::io::mesh
