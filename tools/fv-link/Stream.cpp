#include "Link.h"
#include <cerrno>
#include <sys/socket.h>

namespace filbertvane::tools {

namespace {

/// Bytes on the way in one direction: 20 ms at 4 Gbit/s and some slack.
constexpr std::size_t MaxWaiting = std::size_t{16} * 1024 * 1024;
constexpr std::size_t ReadBlock = std::size_t{64} * 1024;

} // namespace

Stream::Stream(io::EventLoop &Loop, int From, int To, core::Milliseconds Delay,
               std::function<void()> OnEnd)
    : Loop(Loop), From(From), To(To), Delay(Delay), OnEnd(std::move(OnEnd)),
      Due(Loop, [this] { drain(); }) {}

bool Stream::wantsRead() const {
  return !Silent && !Ended && Waiting < MaxWaiting;
}

void Stream::setSilent(bool Now) {
  Silent = Now;
  if (Silent)
    Due.cancel();
  OnInterest();
}

void Stream::onReadable() {
  if (!wantsRead())
    return;
  std::string Bytes(ReadBlock, '\0');
  const ssize_t Count = recv(From, Bytes.data(), Bytes.size(), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (Count <= 0) {
    Ended = true;
    endWhenEmpty();
    return;
  }
  Bytes.resize(static_cast<std::size_t>(Count));
  Waiting += Bytes.size();
  const bool First = Parts.empty();
  Parts.push_back({Loop.now().Mono + Delay, std::move(Bytes)});
  if (First)
    drain();
  else
    OnInterest();
}

void Stream::drain() {
  Blocked = false;
  while (!Parts.empty() && !Silent) {
    Part &Next = Parts.front();
    if (Next.Due > Loop.now().Mono) {
      Due.arm(Next.Due);
      break;
    }
    const ssize_t Count =
        send(To, Next.Bytes.data(), Next.Bytes.size(), MSG_NOSIGNAL);
    if (Count < 0 && errno != EAGAIN && errno != EINTR)
      return OnEnd();
    const auto Sent = static_cast<std::size_t>(Count < 0 ? 0 : Count);
    Waiting -= Sent;
    Next.Bytes.erase(0, Sent);
    if (!Next.Bytes.empty()) {
      Blocked = true;
      break;
    }
    Parts.pop_front();
  }
  endWhenEmpty();
}

void Stream::endWhenEmpty() {
  if (!Ended || !Parts.empty() || Silent) {
    OnInterest();
    return;
  }
  // A closed direction ends the pair; HTTP connections close as a whole.
  OnEnd();
}

} // namespace filbertvane::tools
