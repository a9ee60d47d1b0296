#include "BulkSender.h"

namespace filbertvane::io::proxy {

BulkSender::BulkSender(EventLoop &Loop, double LinkBytesPerSecond,
                       Find FindExchange)
    : Loop(Loop), FindExchange(std::move(FindExchange)),
      Pacer(LinkBytesPerSecond), Next(Loop, [this] { advance(); }) {}

void BulkSender::send(core::CallId Id, std::string Body) {
  Queue.push_back({Id, std::move(Body)});
  if (Queue.size() == 1)
    advance();
}

/// Sends as much as the link's share allows. Answers go one after the other, so
/// that the first ones are whole before the last ones begin.
void BulkSender::advance() {
  const core::TimePoint Now = Loop.now().Mono;
  std::size_t Room = Pacer.take(Now);
  while (!Queue.empty()) {
    Waiting &First = Queue.front();
    ServerExchange *Exchange = FindExchange(First.Id);
    if (Exchange == nullptr) {
      Queue.pop_front();
      continue;
    }
    if (Room == 0)
      break;
    const std::string_view Left =
        std::string_view(First.Body).substr(First.Sent);
    const std::string_view Piece = Left.substr(0, Room);
    Room -= Piece.size();
    First.Sent += Piece.size();
    const bool Whole = First.Sent == First.Body.size();
    Exchange->write(Piece);
    if (!Whole)
      continue;
    Queue.pop_front();
    Exchange->finish();
  }
  if (!Queue.empty())
    Next.arm(Pacer.nextPiece(Now));
}

} // namespace filbertvane::io::proxy
