#include "filbertvane/config/Rfc3339.h"
#include <charconv>
#include <fmt/format.h>

namespace filbertvane::config {

namespace {

constexpr std::string_view Layout = "dddd-dd-ddTdd:dd:dd";

bool hasLayout(std::string_view Text) {
  if (Text.size() <= Layout.size() || Text.back() != 'Z')
    return false;
  for (std::size_t I = 0; I < Layout.size(); ++I) {
    const bool IsDigit = Text[I] >= '0' && Text[I] <= '9';
    if (Layout[I] == 'd' ? !IsDigit : Text[I] != Layout[I])
      return false;
  }
  return true;
}

int parseDigits(std::string_view Text, std::size_t From, std::size_t Length) {
  int Value = 0;
  const char *Begin = Text.data() + From;
  std::from_chars(Begin, Begin + Length, Value);
  return Value;
}

/// Milliseconds of a fraction such as `.25`; none for a malformed text.
std::optional<core::Milliseconds> parseFraction(std::string_view Text) {
  if (Text.empty())
    return core::Milliseconds(0);
  if (Text.front() != '.' || Text.size() < 2)
    return std::nullopt;
  int Millis = 0;
  int Scale = 100;
  for (const char Digit : Text.substr(1)) {
    if (Digit < '0' || Digit > '9')
      return std::nullopt;
    Millis += (Digit - '0') * Scale;
    Scale /= 10;
  }
  return core::Milliseconds(Millis);
}

std::optional<core::WallTime> parseDate(std::string_view Text) {
  const std::chrono::year_month_day Date{
      std::chrono::year(parseDigits(Text, 0, 4)),
      std::chrono::month(static_cast<unsigned>(parseDigits(Text, 5, 2))),
      std::chrono::day(static_cast<unsigned>(parseDigits(Text, 8, 2)))};
  if (!Date.ok() || Date.year() < std::chrono::year(1970))
    return std::nullopt;
  return std::chrono::sys_days(Date);
}

} // namespace

std::optional<core::WallTime> parseRfc3339(std::string_view Text) {
  if (!hasLayout(Text))
    return std::nullopt;
  const auto Day = parseDate(Text);
  const auto Fraction = parseFraction(
      Text.substr(Layout.size(), Text.size() - Layout.size() - 1));
  const int Hour = parseDigits(Text, 11, 2);
  const int Minute = parseDigits(Text, 14, 2);
  const int Second = parseDigits(Text, 17, 2);
  if (!Day || !Fraction || Hour > 23 || Minute > 59 || Second > 59)
    return std::nullopt;
  return *Day + std::chrono::hours(Hour) + std::chrono::minutes(Minute) +
         std::chrono::seconds(Second) + *Fraction;
}

std::string formatRfc3339(core::WallTime Time) {
  const auto Day = std::chrono::floor<std::chrono::days>(Time);
  const std::chrono::year_month_day Date(Day);
  const std::chrono::hh_mm_ss Clock(Time - Day);
  std::string Text = fmt::format(
      "{:04}-{:02}-{:02}T{:02}:{:02}:{:02}", static_cast<int>(Date.year()),
      static_cast<unsigned>(Date.month()), static_cast<unsigned>(Date.day()),
      Clock.hours().count(), Clock.minutes().count(), Clock.seconds().count());
  if (Clock.subseconds().count() != 0)
    Text += fmt::format(".{:03}", Clock.subseconds().count());
  return Text + "Z";
}

} // namespace filbertvane::config
