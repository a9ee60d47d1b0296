#ifndef FILBERTVANE_IO_LOGANSWER_H
#define FILBERTVANE_IO_LOGANSWER_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/core/Result.h"
#include <cstdint>
#include <string>
#include <vector>

namespace filbertvane::io {

/// @brief Answer of a read from the platform log.
struct LogRead {
  /// Offset of the first record. When `Trimmed` is set, the oldest offset that
  /// the log still holds.
  core::LogOffset First;
  /// Offset from which to read on.
  core::LogOffset Next;
  std::vector<std::string> Records;
  /// The offset asked for is older than the retention; `Records` is empty.
  bool Trimmed = false;

  friend auto operator<=>(const LogRead &, const LogRead &) = default;
};

/// @name Requests and answers of the platform log's HTTP interface
/// @{
/// @brief URL of an append.
std::string appendUrl(const std::string &LogUrl, const std::string &Stream);

/// @brief URL of a read.
std::string readUrl(const std::string &LogUrl, const std::string &Stream,
                    core::LogOffset From, std::uint64_t WaitMs,
                    std::size_t MaxBytes);

/// @brief Interprets the answer of an append.
/// @param Status HTTP status, 0 when no answer came
/// @return the offset. `LogUnavailable` when the append may or may not have
///         taken effect, or may be tried again: the writer reads back first.
///         `LogRejected` when it has no effect and a repetition is useless.
core::Result<core::LogOffset> parseAppend(int Status, const std::string &Body);

/// @brief Interprets the answer of a read.
/// @return the records, `LogUnavailable` or `LogRejected`
core::Result<LogRead> parseRead(int Status, const std::string &Body);
/// @}

} // namespace filbertvane::io

#endif // FILBERTVANE_IO_LOGANSWER_H
