#include "UploadQueue.h"

namespace filbertvane::io::proxy {

namespace {

/// Interval at which waiting uploads are reviewed while no body arrives.
constexpr core::Milliseconds ReviewPeriod{50};

} // namespace

UploadQueue::UploadQueue(EventLoop &Loop, double LinkBytesPerSecond,
                         Callbacks Calls)
    : Loop(Loop), Gate(LinkBytesPerSecond), Calls(std::move(Calls)),
      Soon(Loop, [this] { advance(); }), Review(Loop, [this] { advance(); }) {}

decision::mesh::UploadVerdict
UploadQueue::submit(const decision::mesh::Upload &Announced) {
  const auto Verdict = Gate.submit(Announced, Loop.now().Mono);
  if (Verdict == decision::mesh::UploadVerdict::Wait)
    Review.arm(Loop.now().Mono + ReviewPeriod);
  return Verdict;
}

void UploadQueue::receive(core::CallId Id, std::uint64_t Bytes) {
  Gate.receive(Id, Bytes, Loop.now().Mono);
  schedule();
}

void UploadQueue::end(core::CallId Id) {
  Gate.end(Id);
  schedule();
}

void UploadQueue::schedule() {
  if (Gate.waitingCount() > 0)
    Soon.arm(Loop.now().Mono);
}

void UploadQueue::advance() {
  for (const core::CallId Id : Gate.takeHopeless(Loop.now().Mono))
    Calls.OnHopeless(Id);
  for (const core::CallId Id : Gate.start(Loop.now().Mono))
    Calls.OnStart(Id);
  if (Gate.waitingCount() > 0)
    Review.arm(Loop.now().Mono + ReviewPeriod);
}

} // namespace filbertvane::io::proxy
