#include "Incoming.h"
#include "filbertvane/wire/ControlCodec.h"
#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace filbertvane::io::control {

namespace {
constexpr std::size_t ReadChunk = std::size_t{64} * 1024;
} // namespace

Incoming::Incoming(Shared &Common, Socket In)
    : Common(Common), In(std::move(In)),
      Deadline(Common.now() + Common.Settings.HelloTimeout),
      Watch(Common.Loop, this->In.fd(), [this](int) { onReadable(); }) {
  Watch.watch(Descriptor::Readable);
}

void Incoming::expire(core::TimePoint Now) {
  if (!Closed && Now >= Deadline)
    close(From ? observe::EventId::PeerClosed : observe::EventId::PeerSilent,
          From ? From->Node.value() : "no hello");
}

/// One read per event: the loop turns to other connections in between.
void Incoming::onReadable() {
  std::array<char, ReadChunk> Chunk;
  const ssize_t Count = ::recv(In.fd(), Chunk.data(), Chunk.size(), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (Count <= 0) {
    close(observe::EventId::PeerClosed, From ? From->Node.value() : "");
    return;
  }
  Frames.add({Chunk.data(), static_cast<std::size_t>(Count)});
  readFrames();
}

void Incoming::readFrames() {
  bool Any = false;
  while (!Closed) {
    const std::optional<std::string> Body = Frames.next();
    if (!Body)
      break;
    Any = true;
    if (!accept(*Body))
      return;
  }
  if (Frames.broken())
    close(observe::EventId::PeerMalformed, "frame too long");
  else if (Any && !Closed)
    confirm();
}

bool Incoming::accept(const std::string &Body) {
  core::Result<wire::ControlMessage> Message = wire::decode(Body);
  if (!core::ok(Message)) {
    close(observe::EventId::PeerMalformed,
          core::toString(core::failure(Message)));
    return false;
  }
  const std::size_t Bytes = LengthBytes + Body.size();
  KindTraffic &Kind = Common.Traffic.Kinds[core::value(Message).index()];
  ++Kind.FramesIn;
  Kind.BytesIn += Bytes;
  if (!From && !greet(core::value(Message)))
    return false;
  if (From->Region != Common.Settings.Own.Region)
    Common.Traffic.CrossRegionBytes += Bytes;
  Deadline = Common.now() + 2 * Common.Settings.IdleTimeout;
  if (!std::holds_alternative<wire::Hello>(core::value(Message)))
    Common.OnMessage(*From, core::take(std::move(Message)));
  return !Closed;
}

bool Incoming::greet(const wire::ControlMessage &Message) {
  const auto *Hello = std::get_if<wire::Hello>(&Message);
  if (!Hello ||
      Hello->Proof != wire::helloProof(*Hello, Common.Settings.SharedKey)) {
    close(observe::EventId::PeerUnauthorised,
          Hello ? Hello->Node.value() : "no hello");
    return false;
  }
  From = *Hello;
  return true;
}

/// A receipt that does not fit into the socket's buffer is not needed: the
/// peer has many unread ones.
void Incoming::confirm() {
  static const std::string Receipt = framed("");
  if (::send(In.fd(), Receipt.data(), Receipt.size(), MSG_NOSIGNAL) !=
      static_cast<ssize_t>(Receipt.size()))
    return;
  ++Common.Traffic.Receipts.FramesOut;
  Common.Traffic.Receipts.BytesOut += Receipt.size();
  if (From->Region != Common.Settings.Own.Region)
    Common.Traffic.CrossRegionBytes += Receipt.size();
}

void Incoming::close(observe::EventId Why, std::string Detail) {
  if (Closed)
    return;
  Closed = true;
  Watch.watch(Descriptor::None);
  ::shutdown(In.fd(), SHUT_RDWR);
  Common.log(Why, std::move(Detail));
}

} // namespace filbertvane::io::control
