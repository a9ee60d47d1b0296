#ifndef FILBERTVANE_IO_HTTPCLIENT_H
#define FILBERTVANE_IO_HTTPCLIENT_H

#include "filbertvane/io/HttpServer.h"

namespace filbertvane::io {

/// @brief Why a client request ended.
enum class ClientEnd {
  /// The whole answer arrived.
  Complete,
  /// No byte of the request was handed over to a connection.
  NotSent,
  /// The connection failed after the request was handed over, or the answer
  /// is not whole.
  Failed,
  /// The deadline passed after the request was handed over.
  TimedOut,
};

/// @brief Name of an end in log lines: `no_connection` for `NotSent`.
std::string_view nameOf(ClientEnd End);

/// @brief Receives the answer of one client request.
class ClientHandler {
public:
  virtual ~ClientHandler() = default;
  virtual void onHead(const ResponseHead &Head) = 0;
  /// A part of the answer's body came.
  virtual void onBody(std::string_view Part) = 0;
  /// The request takes more body bytes (after `writeBody` filled its buffer).
  virtual void onSendable() = 0;
  /// The request is over; no further call follows.
  virtual void onEnd(ClientEnd End) = 0;
};

/// @brief One request under way; destroying it cancels the request and closes
///        its connection.
class ClientRequest {
public:
  virtual ~ClientRequest() = default;
  /// @brief Queues a part of the request's body.
  /// @return bytes queued and not yet sent
  virtual std::size_t writeBody(std::string_view Part) = 0;
  virtual void finishBody() = 0;
  /// @brief Holds the answer's body back, or lets it come.
  virtual void pauseAnswer(bool Paused) = 0;
};

/// @brief HTTP client on the process's loop (libcurl multi).
///
/// A request is handed over to at most one connection; it is never sent a
/// second time without a call of `send`.
class HttpClient {
public:
  struct Request {
    std::string Method = "GET";
    /// `http://ip:port/path`
    std::string Url;
    Headers Fields;
    /// Length of a body that follows by `writeBody`; none means chunked.
    std::optional<std::uint64_t> ContentLength = 0;
    core::TimePoint Deadline;
    /// Do not reuse an open connection.
    bool FreshConnection = false;
    /// Reuse only a connection that was in use within the last second.
    bool ProvenConnection = false;
    /// Do not reuse a connection that was idle for longer.
    core::Seconds MaxIdle{30};
    /// Close the connection when sent bytes are not acknowledged in time, or
    /// when an idle connection does not answer probes.
    bool DetectSilence = false;
    /// Send the body only after the server asked for it (`100 Continue`).
    bool AwaitContinue = false;
    /// Time by which a new connection must be open; none for the usual limit.
    std::optional<core::TimePoint> ConnectBy = std::nullopt;
    /// An answer without a length is whole when its connection ends in order.
    bool AcceptUnframed = false;
    /// Largest answer that `fetch` collects; a larger one counts as failed.
    std::size_t MaxAnswerBytes = std::size_t{16} * 1024 * 1024;
    /// Receives the head of the answer that `fetch` collects, before its end.
    std::function<void(const ResponseHead &)> OnHead = nullptr;
  };

  struct Options {
    /// Idle connections kept open, over all addresses.
    std::uint32_t IdleConnections = 512;
    core::Milliseconds ConnectTimeout{500};
  };

  static std::unique_ptr<HttpClient> create(EventLoop &Loop,
                                            const Options &Settings);
  virtual ~HttpClient() = default;
  virtual const Options &options() const = 0;

  /// @brief Starts a request; the handler is called from the loop only, never
  ///        from inside `send`.
  /// @param Handler must outlive the returned request; it may destroy the
  ///        request in any of its calls
  virtual std::unique_ptr<ClientRequest> send(Request What,
                                              ClientHandler &Handler) = 0;

  /// @brief Sends a small body and collects a small answer.
  ///
  /// `OnDone` receives the status, 0 when no answer came, and the body.
  virtual void fetch(
      Request What, std::string Body,
      std::function<void(ClientEnd, int Status, std::string Body)> OnDone) = 0;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_IO_HTTPCLIENT_H
