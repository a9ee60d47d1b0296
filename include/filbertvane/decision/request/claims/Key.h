#ifndef FILBERTVANE_DECISION_REQUEST_CLAIMS_KEY_H
#define FILBERTVANE_DECISION_REQUEST_CLAIMS_KEY_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/core/Result.h"
#include "filbertvane/core/Time.h"

namespace filbertvane::decision::request::claims {

/// Difference between host clocks that key checks allow for.
inline constexpr core::Seconds MaxClockSkew{60};

/// @brief Time embedded in a UUIDv7 key (lower-case text, 36 characters).
/// @return the time, or `ClaimKeyInvalid`
core::Result<core::WallTime> parseKeyTime(const core::IdempotencyKey &Key);

/// @brief Checks that a record of the key, if there is one, is still in the
///        log.
///
/// A key from the future is refused too: its record would be trimmed before
/// the key counts as old.
/// @param Retention retention of the log
/// @return the key's time, `ClaimKeyInvalid` or `ClaimKeyExpired`
core::Result<core::WallTime> checkKey(const core::IdempotencyKey &Key,
                                      core::WallTime Now,
                                      core::Seconds Retention);

} // namespace filbertvane::decision::request::claims

#endif // FILBERTVANE_DECISION_REQUEST_CLAIMS_KEY_H
