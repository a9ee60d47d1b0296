#ifndef FILBERTVANE_DECISION_REQUEST_CLAIMS_KEY_H
#define FILBERTVANE_DECISION_REQUEST_CLAIMS_KEY_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/core/Result.h"
#include "filbertvane/core/Time.h"

namespace filbertvane::decision::request::claims {

/// Largest difference between host clocks that key checks tolerate.
inline constexpr core::Seconds MaxClockSkew{60};

/// @brief Parses the time embedded in a UUIDv7 key (36 lower-case characters).
/// @return the time, or `ClaimKeyInvalid`
core::Result<core::WallTime> parseKeyTime(const core::IdempotencyKey &Key);

/// @brief Checks that a claim of the key, if any, cannot have been trimmed from
///        the log.
///
/// A key from the future is rejected because its record would be trimmed before
/// the key expires.
/// @param Retention retention of the log
/// @return the time of the key, `ClaimKeyInvalid` or `ClaimKeyExpired`
core::Result<core::WallTime> checkKey(const core::IdempotencyKey &Key,
                                      core::WallTime Now,
                                      core::Seconds Retention);

} // namespace filbertvane::decision::request::claims

#endif // FILBERTVANE_DECISION_REQUEST_CLAIMS_KEY_H
