#ifndef FILBERTVANE_LIB_IO_TARGETS_TARGETCONNECTION_H
#define FILBERTVANE_LIB_IO_TARGETS_TARGETCONNECTION_H

#include "../control/Socket.h"
#include "AnswerParser.h"
#include "TargetTransfer.h"
#include <set>

namespace filbertvane::io::targets {

class TargetConnection;

/// @brief What a connection needs from its client.
class ConnectionOwner {
public:
  virtual ~ConnectionOwner() = default;
  /// @brief The answer is whole, or none will come; the connection has let go
  ///        of the transfer.
  virtual void end(const std::shared_ptr<Transfer> &Ended, ClientEnd How) = 0;
  /// @brief Id of the request that an answer names, if it names one.
  virtual std::optional<std::string>
  answeredRequest(const ResponseHead &Head) const = 0;
  /// @brief An answer that no request waits for is read and dropped.
  virtual void dropped(const TargetConnection &Connection,
                       const ResponseHead &Head) = 0;
  /// @brief The connection is closed; it must not be destroyed in the call.
  virtual void closed(TargetConnection &Connection) = 0;
  virtual core::TimePoint now() const = 0;
};

/// @brief A connection to a target, with one request at a time.
///
/// The answer to a request is recognised among all answers that arrive on the
/// connection. A target may write an answer twice, the second time while the
/// next request runs; such an answer is read to its end and dropped.
class TargetConnection {
public:
  /// @param Socket non-blocking, its connection is being opened
  TargetConnection(EventLoop &Loop, ConnectionOwner &Owner,
                   control::Socket Socket, std::string Address);
  ~TargetConnection();
  TargetConnection(const TargetConnection &) = delete;
  TargetConnection &operator=(const TargetConnection &) = delete;

  /// @brief Sends a request; the connection is idle or being opened.
  void start(std::shared_ptr<Transfer> Next);
  /// @brief Moves all bytes that can move, after a change of the transfer.
  void pump();
  /// @brief Closes the connection under a request that is cancelled.
  void abandon();
  /// @brief Closes the connection under a request whose deadline has passed.
  void expire();
  /// @brief Reads what arrived while the connection was idle.
  /// @return whether a request can be sent on it
  bool checkIdle();

  bool isClosed() const { return !Socket.open(); }
  bool isConnected() const { return Connected; }
  bool isIdle() const { return !isClosed() && Current == nullptr; }
  /// @brief A copy of an earlier answer to the request may still arrive.
  bool hasCarried(const std::string &RequestId) const {
    return CarriedIds.contains(RequestId);
  }
  const std::string &address() const { return Address; }
  core::TimePoint openedAt() const { return OpenedAt; }
  core::TimePoint idleSince() const { return IdleSince; }

private:
  void handleEvents(int Ready);
  bool receive();
  void flush();
  void close();
  void parse();
  bool parseHead();
  bool parseBody();
  void takeHead(const ResponseHead &Head);
  /// @brief Head of another answer inside the body that is being parsed.
  struct InnerHead {
    std::size_t At = 0;
    /// Request of this connection that it names; none while it is not whole.
    std::optional<std::string> Request;
  };
  std::optional<InnerHead> findInnerHead(std::string_view Bytes) const;
  /// @brief Part of the input that certainly belongs to the body.
  struct BodyExtent {
    std::size_t Bytes = 0;
    /// The answer is broken off behind it.
    bool Broken = false;
    /// The answer to the request begins behind it.
    bool AnswerFollows = false;
  };
  BodyExtent findBodyExtent(std::string_view Bytes) const;
  void finishAnswer();
  void endOfStream();
  /// @brief Closes the connection and ends the request.
  void fail(ClientEnd How);
  void endCurrent(ClientEnd How);
  bool hasEndlessFraming() const;
  void startNextAnswer();
  void updateWatch();

  ConnectionOwner &Owner;
  control::Socket Socket;
  std::string Address;
  std::unique_ptr<Descriptor> Watch;
  int Watched = Descriptor::None;
  bool Connected = false;
  /// The target takes no more bytes; it may have answered before.
  bool SendFailed = false;
  /// The target's side reset the connection before the end of the stream.
  bool StreamReset = false;
  bool StreamEnded = false;
  /// Parsing calls the handler of the request, which may come back here.
  bool Parsing = false;
  core::TimePoint OpenedAt;
  core::TimePoint IdleSince;
  std::set<std::string> CarriedIds;

  std::shared_ptr<Transfer> Current;
  AnswerParser Parser;
  /// Bytes received and not parsed.
  std::string Input;
  bool HeadParsed = false;
  /// Bytes of the answer that is being parsed have arrived.
  bool AnswerBegun = false;
  /// The answer belongs to no request that waits for one.
  bool Dropping = false;
  /// Bytes of the answer, and those of its body.
  std::uint64_t AnswerBytes = 0;
  std::uint64_t BodyBytes = 0;
  std::uint64_t DroppedBytes = 0;
};

} // namespace filbertvane::io::targets

#endif // FILBERTVANE_LIB_IO_TARGETS_TARGETCONNECTION_H
