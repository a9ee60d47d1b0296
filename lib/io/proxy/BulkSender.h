#ifndef FILBERTVANE_LIB_IO_PROXY_BULKSENDER_H
#define FILBERTVANE_LIB_IO_PROXY_BULKSENDER_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/decision/mesh/LinkPacer.h"
#include "filbertvane/io/EventLoop.h"
#include "filbertvane/io/HttpServer.h"
#include <deque>

namespace filbertvane::io::proxy {

/// @brief Sends large answers in pieces, one answer after the other.
class BulkSender {
public:
  /// @brief Exchange of a call; null when its caller has left.
  using Find = std::function<ServerExchange *(core::CallId)>;

  BulkSender(EventLoop &Loop, double LinkBytesPerSecond, Find FindExchange);

  bool takes(std::size_t Bytes) const { return Pacer.holdsBack(Bytes); }
  /// @brief Queues the body of an answer whose head was started.
  void send(core::CallId Id, std::string Body);

private:
  struct Waiting {
    core::CallId Id;
    std::string Body;
    std::size_t Sent = 0;
  };
  void advance();

  EventLoop &Loop;
  Find FindExchange;
  decision::mesh::LinkPacer Pacer;
  std::deque<Waiting> Queue;
  Timer Next;
};

} // namespace filbertvane::io::proxy

#endif // FILBERTVANE_LIB_IO_PROXY_BULKSENDER_H
