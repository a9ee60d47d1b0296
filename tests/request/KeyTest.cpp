#include "filbertvane/decision/request/claims/Key.h"
#include <criterion/criterion.h>

using namespace filbertvane;
using namespace filbertvane::decision::request::claims;

namespace {

// Time of the key: 0x018c00000000 ms.
const core::WallTime CreatedAt{core::Milliseconds(0x018c00000000)};
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

// Guards against accepting keys without an embedded time.
Test(claim_key, only_the_lower_case_text_of_a_uuid_v7_is_a_key) {
  const auto Time = parseKeyTime(key("018c0000-0000-7abc-8abc-0123456789ab"));
  cr_assert(core::ok(Time) && core::value(Time) == CreatedAt,
            "wrong embedded time");
  cr_assert(rejected("018c0000-0000-4abc-8abc-0123456789ab"),
            "version 4 accepted");
  cr_assert(rejected("018c0000-0000-7abc-0abc-0123456789ab"),
            "wrong variant accepted");
  cr_assert(rejected("018C0000-0000-7ABC-8ABC-0123456789AB"),
            "upper case accepted");
  cr_assert(rejected("018c0000x0000-7abc-8abc-0123456789ab"),
            "missing dash accepted");
  cr_assert(rejected("018c0000-0000-7abc-8abc"), "truncated key accepted");
}

// Guards against a second execution after the first claim was trimmed from the
// log.
Test(claim_key, a_key_is_valid_only_while_its_record_is_in_the_log) {
  const core::ErrorCode Valid{};
  cr_assert(checkedAt(CreatedAt) == Valid, "a new key was refused");
  cr_assert(checkedAt(CreatedAt + Retention - MaxClockSkew) == Valid,
            "a key just within the retention was refused");
  cr_assert(checkedAt(CreatedAt + Retention) ==
                core::ErrorCode::ClaimKeyExpired,
            "an expired key was accepted");
  cr_assert(checkedAt(CreatedAt - MaxClockSkew - core::Seconds(1)) ==
                core::ErrorCode::ClaimKeyInvalid,
            "a key from the future was accepted; it would outlive its record");
}
