#include "Outgoing.h"
#include "filbertvane/wire/ControlCodec.h"
#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <sys/socket.h>

namespace filbertvane::io::control {

Outgoing::Outgoing(Shared &Common, std::string Address, sockaddr_in Where)
    : Common(Common), Address(std::move(Address)), Where(Where),
      UsedAt(Common.now()) {}

bool Outgoing::queue(std::size_t Kind, const std::string &Body) {
  if (QueuedBytes + Body.size() + LengthBytes >
      Common.Settings.MaxQueuedBytes) {
    if (!FullReported)
      Common.log(observe::EventId::PeerQueueFull, Address);
    FullReported = true;
    return false;
  }
  Queue.push_back({Kind, framed(Body)});
  QueuedBytes += Queue.back().Bytes.size();
  UsedAt = Common.now();
  if (State == Phase::Open)
    write();
  return true;
}

bool Outgoing::wantsConnection(core::TimePoint Now) const {
  return State == Phase::Closed && !Queue.empty() && Now >= RetryAt;
}

void Outgoing::connect() {
  ++Common.Traffic.Connects;
  Out = connectTo(Where);
  if (!Out.open()) {
    fail(observe::EventId::PeerConnectFailed, std::strerror(errno));
    return;
  }
  State = Phase::Connecting;
  ConnectUntil = Common.now() + Common.Settings.ConnectTimeout;
  Watch = std::make_unique<Descriptor>(
      Common.Loop, Out.fd(), [this](int Interests) { onReady(Interests); });
  Watch->watch(Descriptor::Writable);
}

void Outgoing::onReady(int Interests) {
  if (State == Phase::Connecting) {
    const int Failure = pendingError(Out);
    if (Failure != 0)
      fail(observe::EventId::PeerConnectFailed, std::strerror(Failure));
    else
      opened();
    return;
  }
  if (State == Phase::Open && (Interests & Descriptor::Readable))
    readReceipts();
  if (State == Phase::Open && (Interests & Descriptor::Writable))
    write();
}

/// The own identity goes first on each new connection.
void Outgoing::opened() {
  State = Phase::Open;
  Common.log(observe::EventId::PeerConnected, Address);
  const core::Result<std::string> Hello = wire::encode(Common.Settings.Own);
  if (core::ok(Hello)) {
    Queue.push_front({0, framed(core::value(Hello))});
    QueuedBytes += Queue.front().Bytes.size();
  }
  write();
}

void Outgoing::write() {
  while (!Queue.empty()) {
    const Frame &Next = Queue.front();
    const ssize_t Count = ::send(Out.fd(), Next.Bytes.data() + Written,
                                 Next.Bytes.size() - Written, MSG_NOSIGNAL);
    if (Count < 0 && (errno == EAGAIN || errno == EINTR))
      break;
    if (Count < 0) {
      fail(observe::EventId::PeerClosed, std::strerror(errno));
      return;
    }
    if (!ConfirmUntil)
      ConfirmUntil = Common.now() + Common.Settings.SilenceTimeout;
    Written += static_cast<std::size_t>(Count);
    if (Written == Next.Bytes.size())
      sent(Next);
  }
  watch();
}

void Outgoing::sent(const Frame &Done) {
  KindTraffic &Kind = Common.Traffic.Kinds[Done.Kind];
  ++Kind.FramesOut;
  Kind.BytesOut += Done.Bytes.size();
  QueuedBytes -= Done.Bytes.size();
  Written = 0;
  FullReported = false;
  Queue.pop_front();
}

/// A receipt ends the wait; frames still under way start the next one.
void Outgoing::readReceipts() {
  std::array<char, 512> Chunk;
  const ssize_t Count = ::recv(Out.fd(), Chunk.data(), Chunk.size(), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (Count <= 0) {
    fail(observe::EventId::PeerClosed, "closed by the peer");
    return;
  }
  Common.Traffic.Receipts.FramesIn +=
      static_cast<std::uint64_t>(Count) / LengthBytes;
  Common.Traffic.Receipts.BytesIn += static_cast<std::uint64_t>(Count);
  Failures = 0;
  ConfirmUntil.reset();
  if (!Queue.empty())
    ConfirmUntil = Common.now() + Common.Settings.SilenceTimeout;
}

void Outgoing::watch() {
  const int Write = Queue.empty() ? Descriptor::None : Descriptor::Writable;
  Watch->watch(Descriptor::Readable | Write);
}

void Outgoing::expire(core::TimePoint Now) {
  Retired.clear();
  if (State == Phase::Connecting && Now >= ConnectUntil)
    fail(observe::EventId::PeerConnectFailed, "timeout");
  else if (State == Phase::Open && ConfirmUntil && Now >= *ConfirmUntil)
    fail(observe::EventId::PeerSilent, "no receipt");
  else if (State == Phase::Open && Queue.empty() &&
           Now - UsedAt >= Common.Settings.IdleTimeout)
    close(observe::EventId::PeerClosed, "idle");
}

bool Outgoing::unused(core::TimePoint Now) const {
  return State == Phase::Closed && Queue.empty() && Now >= RetryAt &&
         Now - UsedAt >= Common.Settings.IdleTimeout;
}

void Outgoing::close(observe::EventId Why, const char *Detail) {
  Common.log(Why, fmt::format("{}: {}", Address, Detail));
  State = Phase::Closed;
  if (Watch) {
    Watch->watch(Descriptor::None);
    Retired.push_back(std::move(Watch));
  }
  Out = Socket();
  ConfirmUntil.reset();
  Written = 0;
}

/// What was queued is old by the time of the next connection: the messages
/// are repeated by their senders where they still matter.
void Outgoing::fail(observe::EventId Why, const char *Detail) {
  close(Why, Detail);
  Queue.clear();
  QueuedBytes = 0;
  const std::uint32_t Doublings = std::min(Failures, 10U);
  const core::Microseconds Full = std::min<core::Microseconds>(
      core::Microseconds(Common.Settings.BackoffBase) * (1U << Doublings),
      Common.Settings.BackoffMax);
  const std::uint64_t Half = Full.count() / 2;
  RetryAt =
      Common.now() + core::Microseconds(Half + Common.Chance.below(Half + 1));
  ++Failures;
}

} // namespace filbertvane::io::control
