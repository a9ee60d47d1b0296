#include "filbertvane/decision/request/claims/ClaimTable.h"
#include "filbertvane/decision/request/claims/Key.h"
#include <algorithm>

namespace filbertvane::decision::request::claims {

namespace {

/// Writers whose last sequence is remembered: each restart makes a new one.
constexpr std::size_t MostWriters = 4096;

} // namespace

bool ClaimTable::checkDuplicate(const ClaimBatch &Batch) {
  const auto [Place, Added] =
      LastSequence.try_emplace(Batch.Writer, Batch.Sequence);
  if (!Added && Place->second >= Batch.Sequence)
    return true;
  Place->second = Batch.Sequence;
  if (LastSequence.size() > MostWriters)
    LastSequence.erase(std::min_element(
        LastSequence.begin(), LastSequence.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; }));
  return false;
}

bool ClaimTable::apply(const ClaimBatch &Batch) {
  if (checkDuplicate(Batch))
    return false;
  for (const Claim &One : Batch.Claims)
    if (core::ok(parseKeyTime(One.Key)))
      FirstClaims.try_emplace(One.Key,
                              FirstClaim{One.Owner, One.RequestDigest});
  return evictOldest();
}

/// A key made at the same millisecond as a dropped one is not covered either.
bool ClaimTable::evictOldest() {
  bool Dropped = false;
  while (FirstClaims.size() > MaxKeys) {
    const auto Made = parseKeyTime(FirstClaims.begin()->first);
    markIncompleteBefore(core::value(Made) + core::Milliseconds(1));
    FirstClaims.erase(FirstClaims.begin());
    Dropped = true;
  }
  return Dropped;
}

void ClaimTable::markIncompleteBefore(core::WallTime Time) {
  CompleteFrom = std::max(CompleteFrom.value_or(Time), Time);
}

void ClaimTable::eraseBefore(core::WallTime Time) {
  while (!FirstClaims.empty() &&
         core::value(parseKeyTime(FirstClaims.begin()->first)) < Time)
    FirstClaims.erase(FirstClaims.begin());
}

bool ClaimTable::covers(core::WallTime Made) const {
  return !CompleteFrom || Made >= *CompleteFrom;
}

std::optional<core::Result<ClaimOwner>>
ClaimTable::findOwner(const Claim &What) const {
  const auto Made = parseKeyTime(What.Key);
  if (!core::ok(Made))
    return core::failure(Made);
  if (!covers(core::value(Made)))
    return core::Error{core::ErrorCode::ClaimHistoryIncomplete,
                       What.Key.value()};
  const auto Found = FirstClaims.find(What.Key);
  if (Found == FirstClaims.end())
    return std::nullopt;
  if (Found->second.RequestDigest != What.RequestDigest)
    return core::Error{core::ErrorCode::ClaimKeyReused, What.Key.value()};
  return Found->second.Owner;
}

} // namespace filbertvane::decision::request::claims
