#ifndef FILBERTVANE_DECISION_MESH_LINKPACER_H
#define FILBERTVANE_DECISION_MESH_LINKPACER_H

#include "filbertvane/core/Time.h"
#include <cstddef>

namespace filbertvane::decision::mesh {

/// @brief Share of a host's link that large answers may take.
///
/// Answers the load of a host with a thin link whose target serves large
/// answers beside short ones: without a limit each short answer waits behind
/// all large ones that the link has queued (0.5 s at 10 Mbit/s).
class LinkPacer {
public:
  /// Answers above this size are large: at 10 Mbit/s one takes 13 ms.
  static constexpr std::size_t BulkBytes = std::size_t{16} * 1024;

  /// @param LinkBytesPerSecond rate of the host's link; 0: no limit
  explicit LinkPacer(double LinkBytesPerSecond = 0);

  /// @brief Whether an answer of this size is subject to the limit.
  bool holdsBack(std::size_t Bytes) const;
  /// @brief Takes the bytes that may be sent now.
  std::size_t take(core::TimePoint Now);
  /// @brief Time that so many bytes of large answers take.
  core::Microseconds timeFor(std::size_t Bytes) const;
  /// @brief Time at which the next piece may be sent.
  core::TimePoint nextPiece(core::TimePoint Now) const;

private:
  double credit(core::TimePoint Now) const;

  double BytesPerSecond;
  double Credit;
  core::TimePoint At;
};

} // namespace filbertvane::decision::mesh

#endif // FILBERTVANE_DECISION_MESH_LINKPACER_H
