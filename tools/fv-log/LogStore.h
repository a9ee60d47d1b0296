#ifndef FILBERTVANE_TOOLS_FV_LOG_LOGSTORE_H
#define FILBERTVANE_TOOLS_FV_LOG_LOGSTORE_H

#include "filbertvane/core/Time.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertvane::tools {

/// @brief How much the log keeps and accepts.
struct LogLimits {
  std::size_t RetainedRecords = 100000;
  core::Milliseconds Retention{600000};
  /// Over all streams; 0 is without limit.
  std::uint32_t AppendsPerSecond = 500;
};

/// @brief Counters of one stream since the start.
struct StreamCounters {
  std::uint64_t Appends = 0;
  std::uint64_t Reads = 0;
  std::uint64_t BytesAppended = 0;
  std::uint64_t BytesRead = 0;
};

/// @brief Records from an offset on.
struct ReadAnswer {
  std::uint64_t First = 0;
  std::uint64_t Next = 0;
  std::vector<std::string> Records;
};

/// @brief Append-only streams in memory with limited retention.
class LogStore {
public:
  explicit LogStore(const LogLimits &Limits)
      : Limits(Limits), Allowance(Limits.AppendsPerSecond) {}

  /// @brief Appends a record.
  /// @return its offset, or none above the rate of appends
  std::optional<std::uint64_t> append(const std::string &Stream,
                                      std::string Record, core::TimePoint Now);

  /// @brief Offset of the oldest record that is still there.
  std::uint64_t firstOf(const std::string &Stream, core::TimePoint Now);

  /// @brief Whether a record is there at an offset or after it.
  bool hasFrom(const std::string &Stream, std::uint64_t From);

  /// @brief Records from an offset on, at least one if there is one, up to a
  ///        number of bytes. The offset must not be below `firstOf`.
  ReadAnswer read(const std::string &Stream, std::uint64_t From,
                  std::size_t MaxBytes);

  /// @brief Counters by stream.
  std::map<std::string, StreamCounters> counters() const;

private:
  struct Record {
    core::TimePoint At;
    std::string Bytes;
  };
  struct Stream {
    std::uint64_t First = 0;
    std::deque<Record> Records;
    StreamCounters Counters;

    std::uint64_t end() const { return First + Records.size(); }
  };

  void trim(Stream &Trimmed, core::TimePoint Now) const;
  bool takeAllowance(core::TimePoint Now);

  LogLimits Limits;
  /// Token bucket that holds the appends of one second.
  double Allowance;
  core::TimePoint RefilledAt;
  std::map<std::string, Stream> Streams;
};

} // namespace filbertvane::tools

#endif // FILBERTVANE_TOOLS_FV_LOG_LOGSTORE_H
