#include "filbertvane/decision/mesh/LinkPacer.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

/// Share of the link for the payload of large answers. Packet headers add 3%,
/// and short answers and messages between nodes take 4% of the slowest links.
constexpr double LargeAnswerShare = 0.92;
/// Bytes sent at once: at 10 Mbit/s a short answer waits 7 ms behind them.
constexpr double ChunkBytes = 8.0 * 1024;
/// Rate from which a link needs no limit: the largest answers (540 KB) take
/// less than 50 ms.
constexpr double UnpacedBytesPerSecond = 12.5e6;

} // namespace

LinkPacer::LinkPacer(double LinkBytesPerSecond)
    : BytesPerSecond(LargeAnswerShare * LinkBytesPerSecond),
      Credit(ChunkBytes) {}

bool LinkPacer::isPaced(std::size_t Bytes) const {
  return BytesPerSecond > 0 && BytesPerSecond < UnpacedBytesPerSecond &&
         Bytes > LargeAnswerBytes;
}

double LinkPacer::credit(core::TimePoint Now) const {
  const double ElapsedSeconds =
      static_cast<double>(core::Microseconds(Now - UpdatedAt).count()) * 1e-6;
  return std::min(ChunkBytes, Credit + ElapsedSeconds * BytesPerSecond);
}

std::size_t LinkPacer::takeChunk(core::TimePoint Now) {
  Credit = credit(Now);
  UpdatedAt = Now;
  if (Credit < ChunkBytes)
    return 0;
  Credit = 0;
  return static_cast<std::size_t>(ChunkBytes);
}

core::Microseconds LinkPacer::transmissionTime(std::size_t Bytes) const {
  if (BytesPerSecond <= 0)
    return core::Microseconds(0);
  return core::Microseconds(static_cast<std::int64_t>(
      static_cast<double>(Bytes) / BytesPerSecond * 1e6));
}

core::TimePoint LinkPacer::nextChunkAt(core::TimePoint Now) const {
  const double MissingBytes = std::max(0.0, ChunkBytes - credit(Now));
  return Now + core::Microseconds(static_cast<std::int64_t>(
                                      MissingBytes / BytesPerSecond * 1e6) +
                                  1);
}

} // namespace filbertvane::decision::mesh
