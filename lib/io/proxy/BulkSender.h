#ifndef FILBERTVANE_LIB_IO_PROXY_BULKSENDER_H
#define FILBERTVANE_LIB_IO_PROXY_BULKSENDER_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/decision/mesh/LinkPacer.h"
#include "filbertvane/io/EventLoop.h"
#include "filbertvane/io/HttpServer.h"
#include <vector>

namespace filbertvane::io::proxy {

/// @brief Sends large answers in pieces: those that wait for long by age, the
///        others by what is left of them.
class BulkSender {
public:
  /// @brief Exchange of a call; null when its caller has left.
  using Find = std::function<ServerExchange *(core::CallId)>;

  BulkSender(EventLoop &Loop, double LinkBytesPerSecond, Find FindExchange);

  bool takes(std::size_t Bytes) const { return Pacer.isPaced(Bytes); }
  /// @brief Time that the queued answers take on the link.
  core::Microseconds wait() const;
  /// @brief Queues the body of an answer whose head was started.
  void send(core::CallId Id, std::string Body);

private:
  struct Waiting {
    core::CallId Id;
    std::string Body;
    core::TimePoint Since;
    std::size_t Sent = 0;
    std::size_t left() const { return Body.size() - Sent; }
  };
  void advance();
  void dropAbandoned();
  std::vector<Waiting>::iterator first(core::TimePoint Now);

  EventLoop &Loop;
  Find FindExchange;
  decision::mesh::LinkPacer Pacer;
  std::vector<Waiting> Queue;
  Timer Next;
};

} // namespace filbertvane::io::proxy

#endif // FILBERTVANE_LIB_IO_PROXY_BULKSENDER_H
