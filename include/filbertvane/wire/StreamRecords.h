#ifndef FILBERTVANE_WIRE_STREAMRECORDS_H
#define FILBERTVANE_WIRE_STREAMRECORDS_H

#include "filbertvane/core/Digest.h"
#include "filbertvane/core/Ids.h"
#include <compare>
#include <cstdint>
#include <vector>

namespace filbertvane::wire {

/// @brief Record of the `lease` stream: the holder is still at work.
struct LeaseRenewed {
  core::NodeId Holder;
  core::Epoch LeaseEpoch;
  std::uint64_t Sequence = 0;

  friend auto operator<=>(const LeaseRenewed &, const LeaseRenewed &) = default;
};

/// @brief Claim of one non-idempotent request.
struct Claim {
  core::IdempotencyKey Key;
  core::NodeId Owner;
  /// Digest of the request, so that a reused key with another request shows.
  core::Digest RequestDigest;

  friend auto operator<=>(const Claim &, const Claim &) = default;
};

/// @brief Record of a `claims.<p>` stream.
struct ClaimBatch {
  core::WriterId Writer;
  /// Rises with each batch of a writer.
  std::uint64_t Sequence = 0;
  std::vector<Claim> Claims;

  friend auto operator<=>(const ClaimBatch &, const ClaimBatch &) = default;
};

} // namespace filbertvane::wire

#endif // FILBERTVANE_WIRE_STREAMRECORDS_H
