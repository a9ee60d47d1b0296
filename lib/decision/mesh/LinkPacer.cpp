#include "filbertvane/decision/mesh/LinkPacer.h"
#include <algorithm>

namespace filbertvane::decision::mesh {

namespace {

/// Part of the link for the bytes of large answers. Packets add 3% to them, and
/// short answers and messages between nodes take 4% of the thinnest links.
constexpr double BulkPart = 0.92;
/// Bytes that are sent at once: a short answer waits for 7 ms behind them at
/// 10 Mbit/s.
constexpr double PieceBytes = 8.0 * 1024;
/// Links at which the largest answers (540 KB) take less than 50 ms need no
/// limit.
constexpr double FastBytesPerSecond = 12.5e6;

} // namespace

LinkPacer::LinkPacer(double LinkBytesPerSecond)
    : BytesPerSecond(BulkPart * LinkBytesPerSecond), Credit(PieceBytes) {}

bool LinkPacer::isPaced(std::size_t Bytes) const {
  return BytesPerSecond > 0 && BytesPerSecond < FastBytesPerSecond &&
         Bytes > LargeAnswerBytes;
}

double LinkPacer::credit(core::TimePoint Now) const {
  const double Passed =
      static_cast<double>(core::Microseconds(Now - UpdatedAt).count()) * 1e-6;
  return std::min(PieceBytes, Credit + Passed * BytesPerSecond);
}

std::size_t LinkPacer::takeChunk(core::TimePoint Now) {
  Credit = credit(Now);
  UpdatedAt = Now;
  if (Credit < PieceBytes)
    return 0;
  Credit = 0;
  return static_cast<std::size_t>(PieceBytes);
}

core::Microseconds LinkPacer::transmissionTime(std::size_t Bytes) const {
  if (BytesPerSecond <= 0)
    return core::Microseconds(0);
  return core::Microseconds(static_cast<std::int64_t>(
      static_cast<double>(Bytes) / BytesPerSecond * 1e6));
}

core::TimePoint LinkPacer::nextChunkAt(core::TimePoint Now) const {
  const double Missing = std::max(0.0, PieceBytes - credit(Now));
  return Now +
         core::Microseconds(
             static_cast<std::int64_t>(Missing / BytesPerSecond * 1e6) + 1);
}

} // namespace filbertvane::decision::mesh
