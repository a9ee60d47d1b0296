#include "filbertvane/decision/request/claims/Key.h"
#include <criterion/criterion.h>

using namespace filbertvane;
using namespace filbertvane::decision::request::claims;

namespace {

// Time of the key: 0x018c00000000 ms.
const core::WallTime Made{core::Milliseconds(0x018c00000000)};
const core::Seconds Retention{3600};

core::IdempotencyKey key(const char *Text) {
  return core::IdempotencyKey(Text);
}

bool rejected(const char *Text) { return !core::ok(parseKeyTime(key(Text))); }

core::ErrorCode checkedAt(core::WallTime Now) {
  const auto Result =
      checkKey(key("018c0000-0000-7abc-8abc-0123456789ab"), Now, Retention);
  return core::ok(Result) ? core::ErrorCode{} : core::failure(Result).Code;
}

} // namespace

// Guards against keys whose age cannot be known.
Test(claim_key, only_the_lower_case_text_of_a_uuid_v7_is_a_key) {
  const auto Time = parseKeyTime(key("018c0000-0000-7abc-8abc-0123456789ab"));
  cr_assert(core::ok(Time) && core::value(Time) == Made, "wrong time");
  cr_assert(rejected("018c0000-0000-4abc-8abc-0123456789ab"), "version 4");
  cr_assert(rejected("018c0000-0000-7abc-0abc-0123456789ab"), "variant");
  cr_assert(rejected("018C0000-0000-7ABC-8ABC-0123456789AB"), "upper case");
  cr_assert(rejected("018c0000x0000-7abc-8abc-0123456789ab"), "no dash");
  cr_assert(rejected("018c0000-0000-7abc-8abc"), "short");
}

// Guards against a second execution after the log forgot the first claim.
Test(claim_key, a_key_is_valid_only_while_its_record_is_in_the_log) {
  const core::ErrorCode Valid{};
  cr_assert(checkedAt(Made) == Valid, "a new key");
  cr_assert(checkedAt(Made + Retention - MaxClockSkew) == Valid, "the last");
  cr_assert(checkedAt(Made + Retention) == core::ErrorCode::ClaimKeyExpired,
            "an old key");
  cr_assert(checkedAt(Made - MaxClockSkew - core::Seconds(1)) ==
                core::ErrorCode::ClaimKeyInvalid,
            "a key from the future outlives its record");
}
