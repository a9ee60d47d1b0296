#include "filbertvane/decision/request/claims/ClaimTable.h"
#include "filbertvane/decision/request/claims/Key.h"
#include <algorithm>

namespace filbertvane::decision::request::claims {

namespace {

/// Writers whose last sequence is stored; each restart of a keeper creates a
/// new writer.
constexpr std::size_t MaxWriters = 4096;

} // namespace

bool ClaimTable::checkDuplicate(const ClaimBatch &Batch) {
  const auto [Position, Added] =
      LastSequence.try_emplace(Batch.Writer, Batch.Sequence);
  if (!Added && Position->second >= Batch.Sequence)
    return true;
  Position->second = Batch.Sequence;
  if (LastSequence.size() > MaxWriters)
    LastSequence.erase(std::min_element(
        LastSequence.begin(), LastSequence.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; }));
  return false;
}

bool ClaimTable::apply(const ClaimBatch &Batch) {
  if (checkDuplicate(Batch))
    return false;
  for (const Claim &Entry : Batch.Claims)
    if (core::ok(parseKeyTime(Entry.Key)))
      FirstClaims.try_emplace(Entry.Key,
                              FirstClaim{Entry.Owner, Entry.RequestDigest});
  return evictOldest();
}

/// Keys created in the same millisecond as an evicted one are incomplete too.
bool ClaimTable::evictOldest() {
  bool Evicted = false;
  while (FirstClaims.size() > MaxKeys) {
    const auto CreatedAt = parseKeyTime(FirstClaims.begin()->first);
    markIncompleteBefore(core::value(CreatedAt) + core::Milliseconds(1));
    FirstClaims.erase(FirstClaims.begin());
    Evicted = true;
  }
  return Evicted;
}

void ClaimTable::markIncompleteBefore(core::WallTime Time) {
  CompleteFrom = std::max(CompleteFrom.value_or(Time), Time);
}

void ClaimTable::eraseBefore(core::WallTime Time) {
  while (!FirstClaims.empty() &&
         core::value(parseKeyTime(FirstClaims.begin()->first)) < Time)
    FirstClaims.erase(FirstClaims.begin());
}

bool ClaimTable::covers(core::WallTime CreatedAt) const {
  return !CompleteFrom || CreatedAt >= *CompleteFrom;
}

std::optional<core::Result<ClaimOwner>>
ClaimTable::findOwner(const Claim &KeyClaim) const {
  const auto CreatedAt = parseKeyTime(KeyClaim.Key);
  if (!core::ok(CreatedAt))
    return core::failure(CreatedAt);
  if (!covers(core::value(CreatedAt)))
    return core::Error{core::ErrorCode::ClaimHistoryIncomplete,
                       KeyClaim.Key.value()};
  const auto Found = FirstClaims.find(KeyClaim.Key);
  if (Found == FirstClaims.end())
    return std::nullopt;
  if (Found->second.RequestDigest != KeyClaim.RequestDigest)
    return core::Error{core::ErrorCode::ClaimKeyReused, KeyClaim.Key.value()};
  return Found->second.Owner;
}

} // namespace filbertvane::decision::request::claims
