#ifndef FILBERTVANE_LIB_IO_CONTROL_OUTGOING_H
#define FILBERTVANE_LIB_IO_CONTROL_OUTGOING_H

#include "Frames.h"
#include "Shared.h"
#include "Socket.h"
#include <deque>

namespace filbertvane::io::control {

/// @brief The connection to one peer address, with its queue and its backoff.
class Outgoing {
public:
  Outgoing(Shared &Common, std::string Address, sockaddr_in Where);

  /// @brief Queues an encoded message.
  /// @return false when the queue is full
  bool queue(std::size_t Kind, const std::string &Body);

  /// @brief Frames wait, no connection is open and the backoff is over.
  bool wantsConnection(core::TimePoint Now) const;
  /// @brief Time at which the backoff ends.
  core::TimePoint retryAt() const { return RetryAt; }
  void connect();
  bool connected() const { return State == Phase::Open; }

  /// @brief Closes a connection that is silent, idle or cannot be opened.
  void expire(core::TimePoint Now);
  /// @brief Nothing is queued, open or remembered: the peer can be forgotten.
  bool unused(core::TimePoint Now) const;

private:
  enum class Phase { Closed, Connecting, Open };
  struct Frame {
    std::size_t Kind;
    std::string Bytes;
  };

  void onReady(int Interests);
  void opened();
  void write();
  void readReceipts();
  void sent(const Frame &Done);
  void watch();
  void close(observe::EventId Why, const char *Detail);
  void fail(observe::EventId Why, const char *Detail);

  Shared &Common;
  std::string Address;
  sockaddr_in Where;
  Phase State = Phase::Closed;
  Socket Out;
  std::unique_ptr<Descriptor> Watch;
  /// Closed watchers may be running; they are released by `expire`.
  std::vector<std::unique_ptr<Descriptor>> Retired;
  std::deque<Frame> Queue;
  std::size_t QueuedBytes = 0;
  /// Bytes of the first frame that were written.
  std::size_t Written = 0;
  bool FullReported = false;
  core::TimePoint ConnectUntil;
  /// Set while sent frames are not confirmed.
  std::optional<core::TimePoint> ConfirmUntil;
  core::TimePoint UsedAt;
  core::TimePoint RetryAt;
  std::uint32_t Failures = 0;
};

} // namespace filbertvane::io::control

#endif // FILBERTVANE_LIB_IO_CONTROL_OUTGOING_H
