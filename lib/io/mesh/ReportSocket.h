#ifndef FILBERTVANE_LIB_IO_MESH_REPORTSOCKET_H
#define FILBERTVANE_LIB_IO_MESH_REPORTSOCKET_H

#include "filbertvane/core/Result.h"
#include "filbertvane/io/EventLoop.h"
#include <cstdint>
#include <string>
#include <vector>

namespace filbertvane::io::mesh {

/// @brief UDP socket for reports between nodes. Datagrams may be lost.
class ReportSocket {
public:
  using Receiver = std::function<void(std::string_view)>;

  /// @return the socket, or `ProcessListenFailed` with the address
  static core::Result<std::unique_ptr<ReportSocket>>
  open(EventLoop &Loop, const std::string &Address, std::uint16_t Port,
       Receiver OnDatagram);

  ReportSocket(EventLoop &Loop, int Fd, std::uint16_t Port,
               Receiver OnDatagram);
  ~ReportSocket();
  ReportSocket(const ReportSocket &) = delete;
  ReportSocket &operator=(const ReportSocket &) = delete;

  /// @brief Sends one datagram to each address.
  /// @return number of datagrams that the system did not take
  std::size_t send(const std::string &Bytes,
                   const std::vector<std::string> &Addresses);

private:
  void receive();

  int Fd;
  std::uint16_t Port;
  Receiver OnDatagram;
  Descriptor Readable;
};

} // namespace filbertvane::io::mesh

#endif // FILBERTVANE_LIB_IO_MESH_REPORTSOCKET_H
