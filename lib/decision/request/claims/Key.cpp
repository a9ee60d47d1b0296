#include "filbertvane/decision/request/claims/Key.h"
#include <cstdint>

namespace filbertvane::decision::request::claims {

namespace {

constexpr std::size_t TextLength = 36;
/// Hexadecimal digits of the embedded time.
constexpr std::size_t TimeDigits = 12;
constexpr std::size_t VersionAt = 14;
constexpr std::size_t VariantAt = 19;

/// Upper case is refused: two texts of one key would be two keys.
int digitOf(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;

  return -1;
}

bool isDash(std::size_t At) {
  return At == 8 || At == 13 || At == 18 || At == 23;
}

bool wellFormed(const std::string &Text) {
  if (Text.size() != TextLength)
    return false;
  for (std::size_t At = 0; At < TextLength; ++At)
    if (isDash(At) ? Text[At] != '-' : digitOf(Text[At]) < 0)
      return false;
  const bool Variant = (digitOf(Text[VariantAt]) & 0xc) == 0x8;
  return Text[VersionAt] == '7' && Variant;
}

core::Error invalid(const core::IdempotencyKey &Key, const char *Why) {
  return {core::ErrorCode::ClaimKeyInvalid, Key.value() + ": " + Why};
}

} // namespace

core::Result<core::WallTime> parseKeyTime(const core::IdempotencyKey &Key) {
  const std::string &Text = Key.value();
  if (!wellFormed(Text))
    return invalid(Key, "not the lower-case text of a UUIDv7");
  std::int64_t Millis = 0;
  std::size_t Digits = 0;
  for (std::size_t At = 0; Digits < TimeDigits; ++At) {
    if (isDash(At))
      continue;
    Millis = Millis * 16 + digitOf(Text[At]);
    ++Digits;
  }
  return core::WallTime(core::Milliseconds(Millis));
}

core::Result<core::WallTime> checkKey(const core::IdempotencyKey &Key,
                                      core::WallTime Now,
                                      core::Seconds Retention) {
  core::Result<core::WallTime> Parsed = parseKeyTime(Key);
  if (!core::ok(Parsed))
    return Parsed;
  const core::WallTime Made = core::value(Parsed);
  if (Made > Now + MaxClockSkew)
    return invalid(Key, "its time lies in the future");
  if (Made < Now - (Retention - MaxClockSkew))
    return core::Error{core::ErrorCode::ClaimKeyExpired, Key.value()};
  return Parsed;
}

} // namespace filbertvane::decision::request::claims
