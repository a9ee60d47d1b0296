#ifndef FILBERTVANE_DECISION_REQUEST_CLAIMS_CLAIMTABLE_H
#define FILBERTVANE_DECISION_REQUEST_CLAIMS_CLAIMTABLE_H

#include "filbertvane/decision/request/claims/Events.h"
#include <map>

namespace filbertvane::decision::request::claims {

/// @brief First claim of each key, built from the records of a partition.
///
/// Two tables built from the same records agree on every owner known to both.
/// A key whose earlier records may be missing has no known owner.
class ClaimTable {
public:
  explicit ClaimTable(std::size_t MaxKeys) : MaxKeys(MaxKeys) {}

  /// @brief Applies one batch; a sequence that is not above the last one of its
  ///        writer has no effect.
  /// @return true when keys were evicted to stay within the limit
  bool apply(const ClaimBatch &Batch);
  /// @brief Marks records before a time as missing: no owner is returned for
  ///        keys created before it.
  void markIncompleteBefore(core::WallTime Time);
  /// @brief Removes keys created before a time.
  void eraseBefore(core::WallTime Time);

  /// @brief Returns true when all records of keys created at a time were read.
  bool covers(core::WallTime CreatedAt) const;
  /// @brief Finds the owner of a key.
  /// @return none when the key was never claimed; `ClaimHistoryIncomplete`,
  ///         `ClaimKeyReused` or `ClaimKeyInvalid` on failure
  std::optional<core::Result<ClaimOwner>>
  findOwner(const Claim &KeyClaim) const;

  std::size_t size() const { return FirstClaims.size(); }

private:
  struct FirstClaim {
    ClaimOwner Owner;
    core::Digest RequestDigest;
  };
  bool checkDuplicate(const ClaimBatch &Batch);
  bool evictOldest();

  std::size_t MaxKeys;
  /// Ordered by key and therefore by the embedded time.
  std::map<core::IdempotencyKey, FirstClaim> FirstClaims;
  std::map<core::WriterId, std::uint64_t> LastSequence;
  std::optional<core::WallTime> CompleteFrom;
};

} // namespace filbertvane::decision::request::claims

#endif // FILBERTVANE_DECISION_REQUEST_CLAIMS_CLAIMTABLE_H
