#include "filbertvane/decision/mesh/LinkPacer.h"
#include <algorithm>
#include <criterion/criterion.h>
#include <deque>
#include <vector>

using namespace filbertvane;
using namespace filbertvane::decision::mesh;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr double LinkBytesPerMs = 1250; // 10 Mbit/s
constexpr std::size_t LargeBytes = 90000;
constexpr std::size_t ShortBytes = 700;

/// Simulates ten seconds of a FIFO link with eleven large and forty short
/// answers per second.
/// @return waiting times of the short answers in ms, sorted
std::vector<double> shortWaits(LinkPacer Pacer) {
  std::vector<double> Waits;
  std::size_t QueuedBytes = 0;
  double LinkBacklogBytes = 0;
  for (int Ms = 0; Ms < 10000; ++Ms) {
    const core::TimePoint Now{milliseconds(Ms + 1)};
    // Large answers arrive in groups of three.
    if (Ms % 272 == 0) {
      if (Pacer.isPaced(LargeBytes))
        QueuedBytes += 3 * LargeBytes;
      else
        LinkBacklogBytes += 3.0 * LargeBytes;
    }
    if (QueuedBytes > 0) {
      const std::size_t Chunk = std::min(QueuedBytes, Pacer.takeChunk(Now));
      QueuedBytes -= Chunk;
      LinkBacklogBytes += static_cast<double>(Chunk);
    }
    if (Ms % 25 == 7) {
      Waits.push_back(LinkBacklogBytes / LinkBytesPerMs);
      LinkBacklogBytes += ShortBytes;
    }
    LinkBacklogBytes = std::max(0.0, LinkBacklogBytes - LinkBytesPerMs);
  }
  std::ranges::sort(Waits);
  return Waits;
}

} // namespace

// Guards against short answers that wait behind all large ones on a slow link:
// on scale-2 of aclu-lecturas-grown, answers that a target gave after 80 ms
// reached their callers after 500 ms and more.
Test(link_pacer, short_answers_do_not_wait_behind_large_ones) {
  const auto Unlimited = shortWaits(LinkPacer(0));
  const auto Paced = shortWaits(LinkPacer(LinkBytesPerMs * 1000));
  const std::size_t P90 = Unlimited.size() * 9 / 10;
  cr_assert(Unlimited[P90] > 100, "%.1f ms without limit", Unlimited[P90]);
  cr_assert(Paced[P90] < 10, "%.1f ms with it", Paced[P90]);
}

// Guards against a limit that underuses the link.
Test(link_pacer, large_answers_get_most_of_the_link) {
  LinkPacer Pacer(1250000);
  std::size_t Sent = 0;
  core::TimePoint Now{milliseconds(1)};
  const core::TimePoint End = Now + core::Seconds(1);
  while (Now < End) {
    Sent += Pacer.takeChunk(Now);
    const core::TimePoint Next = Pacer.nextChunkAt(Now);
    cr_assert(Next > Now);
    Now = Next;
  }
  cr_assert(Sent > 1100000 && Sent < 1200000, "%zu bytes in a second", Sent);
}

// Guards against delaying short answers, and answers on links that need no
// limit.
Test(link_pacer, only_large_answers_on_slow_links_are_paced) {
  cr_assert(!LinkPacer(1250000).isPaced(4000));
  cr_assert(LinkPacer(1250000).isPaced(90000));
  cr_assert(!LinkPacer(125000000).isPaced(90000));
  cr_assert(!LinkPacer(0).isPaced(90000));
}
