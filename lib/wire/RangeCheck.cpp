#include "RangeCheck.h"

namespace filbertvane::wire {

namespace {

constexpr std::int64_t YearEndOf9999 = 253402300799999;
constexpr std::int64_t MillisPerDay = 86400000;
constexpr std::size_t MaxNameBytes = 64;

} // namespace

core::WallTime RangeCheck::time(std::int64_t Millis) {
  if (Millis < 0 || Millis > YearEndOf9999)
    return outOfRange("time", core::WallTime{});
  return core::WallTime(core::Milliseconds(Millis));
}

core::Milliseconds RangeCheck::duration(std::int64_t Millis) {
  if (Millis < 0 || Millis > MillisPerDay)
    return outOfRange("duration", core::Milliseconds{});
  return core::Milliseconds(Millis);
}

config::Permille RangeCheck::share(std::int16_t Share) {
  if (Share < 0 || Share > config::FullShare)
    return outOfRange("share", config::Permille{});
  return static_cast<config::Permille>(Share);
}

std::string RangeCheck::name(const std::string &Name) {
  if (Name.size() > MaxNameBytes)
    return outOfRange("length of a name", std::string());
  return Name;
}

} // namespace filbertvane::wire
