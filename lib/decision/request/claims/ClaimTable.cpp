#include "filbertvane/decision/request/claims/ClaimTable.h"
#include "filbertvane/decision/request/claims/Key.h"
#include <algorithm>

namespace filbertvane::decision::request::claims {

namespace {

/// Writers whose last sequence is remembered: each restart makes a new one.
constexpr std::size_t MostWriters = 4096;

} // namespace

bool ClaimTable::isRepeat(const ClaimBatch &Batch) {
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
  if (isRepeat(Batch))
    return false;
  for (const Claim &One : Batch.Claims)
    if (core::ok(keyTime(One.Key)))
      First.try_emplace(One.Key, Holder{One.Owner, One.RequestDigest});
  return dropOldest();
}

/// A key made at the same millisecond as a dropped one is not covered either.
bool ClaimTable::dropOldest() {
  bool Dropped = false;
  while (First.size() > MostKeys) {
    const auto Made = keyTime(First.begin()->first);
    missBefore(core::value(Made) + core::Milliseconds(1));
    First.erase(First.begin());
    Dropped = true;
  }
  return Dropped;
}

void ClaimTable::missBefore(core::WallTime Time) {
  CompleteFrom = std::max(CompleteFrom.value_or(Time), Time);
}

void ClaimTable::forgetBefore(core::WallTime Time) {
  while (!First.empty() && core::value(keyTime(First.begin()->first)) < Time)
    First.erase(First.begin());
}

bool ClaimTable::covers(core::WallTime Made) const {
  return !CompleteFrom || Made >= *CompleteFrom;
}

std::optional<core::Result<ClaimOwner>>
ClaimTable::decide(const Claim &What) const {
  const auto Made = keyTime(What.Key);
  if (!core::ok(Made))
    return core::failure(Made);
  if (!covers(core::value(Made)))
    return core::Error{core::ErrorCode::ClaimHistoryIncomplete,
                       What.Key.value()};
  const auto Found = First.find(What.Key);
  if (Found == First.end())
    return std::nullopt;
  if (Found->second.RequestDigest != What.RequestDigest)
    return core::Error{core::ErrorCode::ClaimKeyReused, What.Key.value()};
  return Found->second.Owner;
}

} // namespace filbertvane::decision::request::claims
