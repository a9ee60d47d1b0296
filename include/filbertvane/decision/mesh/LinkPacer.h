#ifndef FILBERTVANE_DECISION_MESH_LINKPACER_H
#define FILBERTVANE_DECISION_MESH_LINKPACER_H

#include "filbertvane/core/Time.h"
#include <cstddef>

namespace filbertvane::decision::mesh {

/// @brief Token bucket that limits the share of a host's link for large
///        answers.
///
/// Without it, on a slow link each short answer waits behind all queued large
/// ones (0.5 s at 10 Mbit/s).
class LinkPacer {
public:
  /// Answers above this size are large: at 10 Mbit/s one takes 13 ms.
  static constexpr std::size_t LargeAnswerBytes = std::size_t{16} * 1024;

  /// @param LinkBytesPerSecond rate of the host's link; 0 for no limit
  explicit LinkPacer(double LinkBytesPerSecond = 0);

  /// @brief Whether an answer of this size is subject to the limit.
  bool isPaced(std::size_t Bytes) const;
  /// @brief Takes the next chunk from the budget.
  /// @return bytes that may be sent now; 0 before `nextChunkAt`
  std::size_t takeChunk(core::TimePoint Now);
  /// @brief Transmission time of large answers with this total size.
  core::Microseconds transmissionTime(std::size_t Bytes) const;
  /// @brief Time at which the next chunk may be sent.
  core::TimePoint nextChunkAt(core::TimePoint Now) const;

private:
  double credit(core::TimePoint Now) const;

  double BytesPerSecond;
  double Credit;
  core::TimePoint UpdatedAt;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_LINKPACER_H
