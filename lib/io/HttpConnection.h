#ifndef FILBERTVANE_LIB_IO_HTTPCONNECTION_H
#define FILBERTVANE_LIB_IO_HTTPCONNECTION_H

#include "ConnectionReuse.h"
#include "HttpExchange.h"
#include "filbertvane/io/EventLoop.h"
#include "filbertvane/io/InputBudget.h"
#include <deque>

namespace filbertvane::io {

class HttpConnection;

/// @brief What a connection needs from its server.
class ConnectionOwner {
public:
  virtual ~ConnectionOwner() = default;
  virtual std::unique_ptr<ExchangeHandler> accept(ServerExchange &Exchange) = 0;
  /// @brief Calls `pump` soon, from the loop.
  virtual void wake(HttpConnection &Connection) = 0;
  /// @brief Looks for callers that have left.
  virtual void takeHangups() = 0;
  /// @brief Time until which a connection may be idle from now on.
  virtual core::TimePoint idleDeadline() const = 0;
  virtual core::TimePoint now() const = 0;
  virtual InputBudget &inputs() = 0;
  /// @brief The other ends of the connections are nodes of the fleet.
  virtual bool isForNodes() const = 0;
};

/// @brief One caller's connection.
///
/// Requests that the caller sends ahead are handed over as they arrive; their
/// answers go out in the order of the requests.
class HttpConnection final : public InputBudget::Holder {
public:
  HttpConnection(EventLoop &Loop, ConnectionOwner &Owner, int Fd,
                 std::string Remote, std::size_t MaxHeadBytes);
  ~HttpConnection() override;
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// @brief Moves all bytes that can move.
  void pump();
  /// @brief The caller closed the connection.
  void drop() override;
  /// @brief Closes the connection after the answers to the requests read.
  void closeAfterAnswers();
  /// @brief Closes the connection if its idle or linger deadline has passed.
  void closeIfExpired(core::TimePoint Now);

  bool isClosed() const { return Fd < 0; }
  std::size_t active() const { return Exchanges.size(); }
  decision::connections::ConnectionUse use() const override;

private:
  void handleEvents(int Ready);
  bool receive();
  bool parse();
  bool skipLineBreaks();
  bool parseHead();
  bool parseBody();
  bool isFramingBounded(const BodyResult &Parsed) const;
  void open(ParsedHead Parsed);
  void refuseHead(int Status);
  void refuseBody();
  bool send();
  bool nextBytes();
  bool flush();
  void popAnswered();
  void linger();
  void close();
  bool waitsForCaller() const;
  void updateWatch();
  std::size_t heldBytes() const;
  void account();
  void touch() { IdleAt = Owner.idleDeadline(); }

  ConnectionOwner &Owner;
  int Fd;
  std::string Remote;
  std::unique_ptr<Descriptor> Watch;
  int Watched = Descriptor::None;

  RequestParser Parser;
  ConnectionReuse Reuse;
  /// Bytes received and not parsed.
  std::string Input;
  bool HeadParsed = false;
  /// Of the current request: bytes of its framing and of its body.
  std::size_t Framing = 0;
  std::size_t BodyBytes = 0;
  /// Exchange whose body is being read; null when its answer has been sent.
  HttpExchange *Reading = nullptr;
  /// Oldest first.
  std::deque<std::unique_ptr<HttpExchange>> Exchanges;

  /// Bytes of answers that are framed and not sent.
  std::string Output;
  std::size_t OutputSent = 0;

  bool Pumping = false;
  bool PumpAgain = false;
  /// What the caller sends from now on is read and dropped.
  bool DropsInput = false;
  bool Lingering = false;
  /// A request was read to its end.
  bool Served = false;
  /// Bytes that the budget counts for this connection.
  std::size_t Counted = 0;
  core::TimePoint OpenedAt;
  core::TimePoint IdleAt;
  core::TimePoint LingerUntil;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_LIB_IO_HTTPCONNECTION_H
