#ifndef FILBERTVANE_TOOLS_FV_LOG_HTTPFRONT_H
#define FILBERTVANE_TOOLS_FV_LOG_HTTPFRONT_H

#include "LogService.h"
#include "filbertvane/io/EventLoop.h"
#include <memory>
#include <set>

struct MHD_Daemon;
struct MHD_Connection;

namespace filbertvane::tools {

/// @brief One request on its way through libmicrohttpd.
struct Exchange {
  MHD_Connection *Connection = nullptr;
  Request Asked;
  core::TimePoint Arrived;
  bool Suspended = false;
  /// Path of the stream whose growth ends the wait; empty for a held answer.
  std::string WaitsFor;
  core::TimePoint WakeAt;
  /// Answer that waits for its time.
  std::optional<Answer> Held;
};

/// @brief Serves the log over HTTP on the loopback interface, inside the loop.
class HttpFront {
public:
  HttpFront(io::EventLoop &Loop, LogService &Service);
  ~HttpFront();
  HttpFront(const HttpFront &) = delete;
  HttpFront &operator=(const HttpFront &) = delete;

  /// @return false when the port cannot be bound
  bool listen(std::uint16_t Port);

  /// @name Called by libmicrohttpd's handlers
  /// @{
  /// @return false to close the connection
  bool onWhole(Exchange &Asking);
  void onClosed(Exchange *Asking);
  core::TimePoint now() const { return Loop.now().Mono; }
  /// @}

private:
  bool act(Exchange &Asking, const Reply &Wanted);
  bool hold(Exchange &Asking);
  void wake(Exchange &Asking);
  void wakeStream(const std::string &Path);
  void wakeDue();
  void run();
  void armTimer();

  io::EventLoop &Loop;
  LogService &Service;
  MHD_Daemon *Daemon = nullptr;
  std::set<Exchange *> Suspended;
  io::Timer Wakeup;
  std::unique_ptr<io::Descriptor> Epoll;
};

} // namespace filbertvane::tools

#endif // FILBERTVANE_TOOLS_FV_LOG_HTTPFRONT_H
