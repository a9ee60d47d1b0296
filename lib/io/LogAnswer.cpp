#include "filbertvane/io/LogAnswer.h"
#include "Cbor.h"
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace filbertvane::io {

namespace {

using core::ErrorCode;
using nlohmann::json;

constexpr int TooManyRequests = 429;
constexpr int Gone = 410;
constexpr std::size_t MaxQuotedBytes = 100;

core::Error statusError(int Status, const std::string &Body) {
  if (Status == 0)
    return {ErrorCode::LogUnavailable, "no answer"};
  const std::string Detail =
      fmt::format("status {}: {}", Status, Body.substr(0, MaxQuotedBytes));
  const bool MayRepeat = Status >= 500 || Status == TooManyRequests;
  return {MayRepeat ? ErrorCode::LogUnavailable : ErrorCode::LogRejected,
          Detail};
}

core::Error malformed() {
  return {ErrorCode::LogUnavailable, "malformed answer"};
}

std::optional<core::LogOffset> offsetIn(const json &Answer, const char *Key) {
  if (!Answer.is_object() || !Answer.contains(Key) ||
      !Answer[Key].is_number_unsigned())
    return std::nullopt;
  return core::LogOffset(Answer[Key].get<std::uint64_t>());
}

core::Result<LogRead> trimmedAt(const std::string &Body) {
  const auto First = offsetIn(fromCbor(Body), "first");
  if (!First)
    return malformed();
  return LogRead{*First, *First, {}, true};
}

} // namespace

std::string appendUrl(const std::string &LogUrl, const std::string &Stream) {
  return fmt::format("{}/streams/{}", LogUrl, Stream);
}

std::string readUrl(const std::string &LogUrl, const std::string &Stream,
                    core::LogOffset From, std::uint64_t WaitMs,
                    std::size_t MaxBytes) {
  return fmt::format("{}/streams/{}?from={}&wait_ms={}&max_bytes={}", LogUrl,
                     Stream, From.value(), WaitMs, MaxBytes);
}

core::Result<core::LogOffset> parseAppend(int Status, const std::string &Body) {
  if (Status != 200)
    return statusError(Status, Body);
  const auto Offset = offsetIn(json::parse(Body, nullptr, false), "offset");
  if (!Offset)
    return malformed();
  return *Offset;
}

core::Result<LogRead> parseRead(int Status, const std::string &Body) {
  if (Status == Gone)
    return trimmedAt(Body);
  if (Status != 200)
    return statusError(Status, Body);
  const json Answer = fromCbor(Body);
  const auto First = offsetIn(Answer, "first");
  const auto Next = offsetIn(Answer, "next");
  if (!First || !Next || !Answer.contains("records") ||
      !Answer["records"].is_array())
    return malformed();
  LogRead Out{*First, *Next, {}, false};
  for (const json &Each : Answer["records"]) {
    if (!Each.is_binary())
      return malformed();
    const auto &Bytes = Each.get_binary();
    Out.Records.emplace_back(Bytes.begin(), Bytes.end());
  }
  if (Next->value() - First->value() != Out.Records.size())
    return malformed();
  return Out;
}

} // namespace filbertvane::io
