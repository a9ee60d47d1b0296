#ifndef FILBERTVANE_IO_HTTPSERVER_H
#define FILBERTVANE_IO_HTTPSERVER_H

#include "filbertvane/core/Result.h"
#include "filbertvane/io/EventLoop.h"
#include "filbertvane/io/InputBudget.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace filbertvane::io {

/// @brief Orders header names without regard to case.
struct HeaderNameLess {
  bool operator()(const std::string &A, const std::string &B) const;
};
using Headers = std::multimap<std::string, std::string, HeaderNameLess>;

/// @brief First value of a header.
std::optional<std::string> headerOf(const Headers &All,
                                    const std::string &Name);

/// @brief Method, path with query, and headers of a request.
struct RequestHead {
  std::string Method;
  std::string Path;
  Headers Fields;
  /// Address of the peer, `ip:port`.
  std::string Remote;
};

/// @brief Status and headers of an answer.
struct ResponseHead {
  int Status = 200;
  Headers Fields;
};

/// @brief One request on a server, owned by the server until its end.
///
/// Bodies stream both ways with bounded buffers. All calls happen on the loop.
class ServerExchange {
public:
  virtual ~ServerExchange() = default;

  /// @brief The request's head.
  virtual const RequestHead &request() const = 0;

  /// @brief Lets the next part of the request body come, or holds it back. A
  ///        caller that waits for `100 Continue` gets it once the body may
  ///        come.
  virtual void pauseBody(bool Paused) = 0;

  /// @brief Starts the answer; the body follows by `write` and `finish`.
  /// @param ContentLength length, or none for a chunked answer
  virtual void start(const ResponseHead &Head,
                     std::optional<std::uint64_t> ContentLength) = 0;

  /// @brief Queues a part of the answer's body.
  /// @return bytes queued and not yet sent; the caller holds its source back
  ///         above its own bound
  virtual std::size_t write(std::string_view Part) = 0;

  /// @brief Ends the answer as whole.
  virtual void finish() = 0;

  /// @brief Breaks the answer off: the connection closes without the final
  ///        chunk, so that the caller cannot take a part for the whole.
  virtual void abort() = 0;

  /// @brief Sends a whole answer at once.
  void respond(int Status, std::string_view Body, Headers Fields = {});
};

/// @brief What a server tells its owner about one exchange.
class ExchangeHandler {
public:
  virtual ~ExchangeHandler() = default;
  /// A part of the request's body came.
  virtual void onBody(std::string_view Part) = 0;
  /// The request's body is whole.
  virtual void onBodyEnd() = 0;
  /// Queued answer bytes fell below the low mark; more may be written.
  virtual void onWritable() = 0;
  /// The caller went away, or the answer was sent; the exchange is invalid
  /// after this call. `Whole` tells whether the answer was sent completely.
  virtual void onClosed(bool Whole) = 0;
};

/// @brief HTTP/1.1 server on the process's loop. Requests that a caller sends
///        ahead on one connection run together; answers keep their order.
class HttpServer {
public:
  /// Called when the head of a request is complete. The returned handler
  /// receives the rest; the server destroys it after `onClosed`.
  using Acceptor =
      std::function<std::unique_ptr<ExchangeHandler>(ServerExchange &)>;

  struct Options {
    /// `ip:port` to listen on; port 0 takes a free one.
    std::string Address;
    std::uint32_t MaxConnections = 4096;
    /// Bytes of a request's head.
    std::size_t MaxHeadBytes = std::size_t{16} * 1024;
    /// Time after which an idle connection is closed; longer than clients keep
    /// one, so that it is not closed while a request is under way to it.
    core::Seconds IdleTimeout{75};
    /// Shared by the servers of a process.
    std::shared_ptr<InputBudget> Inputs = std::make_shared<InputBudget>();
    /// The other ends are nodes of the fleet.
    bool FromNodes = false;
  };

  /// @brief Binds and starts to accept.
  /// @return the server, or `ProcessListenFailed` with the address
  static core::Result<std::unique_ptr<HttpServer>>
  listen(EventLoop &Loop, const Options &Settings, Acceptor OnRequest);

  virtual ~HttpServer() = default;

  /// @brief Changes the idle time-out of connections from their next activity
  ///        on.
  virtual void setIdleTimeout(core::Seconds Timeout) = 0;
  /// @brief Closes each connection after the answers to the requests read from
  ///        it; new connections are still accepted.
  virtual void closeAfterAnswers() = 0;
  /// @brief Stops accepting connections; requests in progress go on.
  virtual void quiesce() = 0;
  /// @brief Requests in progress.
  virtual std::size_t active() const = 0;
  /// @brief Port in use.
  virtual std::uint16_t port() const = 0;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_IO_HTTPSERVER_H
