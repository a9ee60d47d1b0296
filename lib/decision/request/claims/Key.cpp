#include "filbertvane/decision/request/claims/Key.h"
#include <cstdint>

namespace filbertvane::decision::request::claims {

namespace {

constexpr std::size_t KeyLength = 36;
/// Hexadecimal digits of the embedded time in milliseconds.
constexpr std::size_t TimeDigits = 12;
constexpr std::size_t VersionIndex = 14;
constexpr std::size_t VariantIndex = 19;

/// Rejects upper case, because two spellings of one key would be two keys.
int hexDigitValue(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;

  return -1;
}

bool isDash(std::size_t Index) {
  return Index == 8 || Index == 13 || Index == 18 || Index == 23;
}

bool isUuidV7(const std::string &Text) {
  if (Text.size() != KeyLength)
    return false;
  for (std::size_t Index = 0; Index < KeyLength; ++Index)
    if (isDash(Index) ? Text[Index] != '-' : hexDigitValue(Text[Index]) < 0)
      return false;
  const bool Variant = (hexDigitValue(Text[VariantIndex]) & 0xc) == 0x8;
  return Text[VersionIndex] == '7' && Variant;
}

core::Error invalid(const core::IdempotencyKey &Key, const char *Reason) {
  return {core::ErrorCode::ClaimKeyInvalid, Key.value() + ": " + Reason};
}

} // namespace

core::Result<core::WallTime> parseKeyTime(const core::IdempotencyKey &Key) {
  const std::string &Text = Key.value();
  if (!isUuidV7(Text))
    return invalid(Key, "not the lower-case text of a UUIDv7");
  std::int64_t Millis = 0;
  std::size_t Digits = 0;
  for (std::size_t Index = 0; Digits < TimeDigits; ++Index) {
    if (isDash(Index))
      continue;
    Millis = Millis * 16 + hexDigitValue(Text[Index]);
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
  const core::WallTime CreatedAt = core::value(Parsed);
  if (CreatedAt > Now + MaxClockSkew)
    return invalid(Key, "its time lies in the future");
  if (CreatedAt < Now - (Retention - MaxClockSkew))
    return core::Error{core::ErrorCode::ClaimKeyExpired, Key.value()};
  return Parsed;
}

} // namespace filbertvane::decision::request::claims
