#include "BulkSender.h"
#include <algorithm>

namespace filbertvane::io::proxy {

namespace {

/// Time after which an answer goes before smaller ones. It is late by then, but
/// comes before its deadline (3 s and more on routes with large answers). With
/// 0.6 s a loaded link sends in order of arrival, and three times as many are
/// late.
constexpr core::Milliseconds LongestWait{2000};

} // namespace

BulkSender::BulkSender(EventLoop &Loop, double LinkBytesPerSecond,
                       Find FindExchange)
    : Loop(Loop), FindExchange(std::move(FindExchange)),
      Pacer(LinkBytesPerSecond), Next(Loop, [this] { advance(); }) {}

void BulkSender::send(core::CallId Id, std::string Body) {
  Queue.push_back({Id, std::move(Body), Loop.now().Mono});
  if (Queue.size() == 1)
    advance();
}

/// Callers that have left wait for nothing.
void BulkSender::dropAbandoned() {
  std::erase_if(Queue, [this](const Waiting &Each) {
    return FindExchange(Each.Id) == nullptr;
  });
}

core::Microseconds BulkSender::wait() const {
  std::size_t Left = 0;
  for (const Waiting &Each : Queue)
    Left += Each.left();
  return Pacer.transmissionTime(Left);
}

/// The answer with the least left goes first, so that most are whole early
/// while the link is fully used; but the largest ones must not starve.
std::vector<BulkSender::Waiting>::iterator
BulkSender::first(core::TimePoint Now) {
  const auto Oldest = std::ranges::min_element(Queue, {}, &Waiting::Since);
  if (Now - Oldest->Since > LongestWait)
    return Oldest;
  return std::ranges::min_element(Queue, {}, &Waiting::left);
}

/// Sends as much as the link's share allows.
void BulkSender::advance() {
  const core::TimePoint Now = Loop.now().Mono;
  dropAbandoned();
  if (Queue.empty())
    return;
  std::size_t Room = Pacer.takeChunk(Now);
  while (Room > 0 && !Queue.empty()) {
    const auto First = first(Now);
    ServerExchange *Exchange = FindExchange(First->Id);
    const std::size_t Size = std::min(Room, First->left());
    Exchange->write(std::string_view(First->Body).substr(First->Sent, Size));
    First->Sent += Size;
    Room -= Size;
    if (First->left() > 0)
      continue;
    Queue.erase(First);
    Exchange->finish();
  }
  if (!Queue.empty())
    Next.arm(Pacer.nextChunkAt(Now));
}

} // namespace filbertvane::io::proxy
