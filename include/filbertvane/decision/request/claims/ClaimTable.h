#ifndef FILBERTVANE_DECISION_REQUEST_CLAIMS_CLAIMTABLE_H
#define FILBERTVANE_DECISION_REQUEST_CLAIMS_CLAIMTABLE_H

#include "filbertvane/decision/request/claims/Events.h"
#include <map>

namespace filbertvane::decision::request::claims {

/// @brief First claim of each key, folded from the records of a partition.
///
/// Two tables that read the same records agree on each owner that both know.
/// A key whose earlier records may be missing has no known owner.
class ClaimTable {
public:
  explicit ClaimTable(std::size_t MostKeys) : MaxKeys(MostKeys) {}

  /// @brief Applies one batch; a repeated (writer, sequence) has no effect.
  /// @return true when keys were dropped for the bound
  bool apply(const ClaimBatch &Batch);
  /// @brief Records before a time are missing: keys made before it are not
  ///        decided.
  void markIncompleteBefore(core::WallTime Time);
  /// @brief Forgets keys made before a time.
  void eraseBefore(core::WallTime Time);

  /// @brief Whether all records of a key made at this time were read.
  bool covers(core::WallTime Made) const;
  /// @brief Owner of a covered key, or the error that stands in its place:
  ///        `ClaimHistoryIncomplete` or `ClaimKeyReused`.
  /// @return none when the key was never claimed
  std::optional<core::Result<ClaimOwner>> findOwner(const Claim &What) const;

  std::size_t size() const { return FirstClaims.size(); }

private:
  struct FirstClaim {
    ClaimOwner Owner;
    core::Digest RequestDigest;
  };
  bool checkDuplicate(const ClaimBatch &Batch);
  bool evictOldest();

  std::size_t MaxKeys;
  /// Ordered by key, and thereby by the time that the key carries.
  std::map<core::IdempotencyKey, FirstClaim> FirstClaims;
  std::map<core::WriterId, std::uint64_t> LastSequence;
  std::optional<core::WallTime> CompleteFrom;
};

} // namespace filbertvane::decision::request::claims

#endif // FILBERTVANE_DECISION_REQUEST_CLAIMS_CLAIMTABLE_H
