#ifndef FILBERTVANE_CONFIG_PUBLICATION_H
#define FILBERTVANE_CONFIG_PUBLICATION_H

#include "filbertvane/config/Replay.h"
#include "filbertvane/io/LogAnswer.h"
#include "filbertvane/wire/RecordCodec.h"
#include <concepts>

namespace filbertvane::config {

/// @brief Log client that a publisher uses.
template <typename L>
concept ConfigLog = requires(L &Log, const std::string &Bytes,
                             core::LogOffset From, core::Milliseconds Wait) {
  { Log.append(Bytes) } -> std::same_as<core::Result<core::LogOffset>>;
  { Log.read(From, Wait) } -> std::same_as<core::Result<io::LogRead>>;
  // Waits before the next attempt after a failure.
  Log.pause();
};

/// Failed appends and reads, together, after which a publisher gives up.
inline constexpr int MaxFailures = 10;
/// Long-poll time of a read that looks for the appended record.
inline constexpr core::Milliseconds ReadBackWait{1000};

/// @brief Reads the whole log and computes the current state.
/// @return the state, `LogUnavailable` after repeated failures, or `LogTrimmed`
///         when records have expired and no snapshot replaces them
template <ConfigLog L> core::Result<FleetState> loadState(L &Log) {
  std::vector<StoredRecord> Records;
  core::LogOffset Next(0);
  for (int Failures = 0;;) {
    const core::Result<io::LogRead> Read =
        Log.read(Next, core::Milliseconds(0));
    if (!core::ok(Read)) {
      if (++Failures == MaxFailures)
        return core::failure(Read);
      Log.pause();
      continue;
    }
    const io::LogRead &Found = core::value(Read);
    if (Found.Trimmed)
      Records.clear();
    else if (Found.Records.empty())
      return replay(Records);
    Next = Found.First;
    for (const std::string &Bytes : Found.Records) {
      Records.push_back({Next, Bytes});
      Next = core::LogOffset(Next.value() + 1);
    }
  }
}

/// @brief Appends one record and reads the log back to learn its outcome.
///
/// Applies the records that it reads to the caller's state, and so obtains the
/// same outcome as every other reader.
template <ConfigLog L> class Publication {
public:
  Publication(L &Log, FleetState &State, const LogRecord &Record)
      : Log(Log), State(State), Bytes(wire::encode(Record)) {}

  /// @return outcome of the record; `LogRejected` when the log refuses it;
  ///         `LogTrimmed` when the log expired records before they were read;
  ///         `LogUnavailable` when the outcome is unknown and the record may
  ///         still take effect
  core::Result<RecordOutcome> run() {
    while (Failures < MaxFailures) {
      const core::Result<core::LogOffset> Offset = Log.append(Bytes);
      if (!core::ok(Offset) &&
          core::failure(Offset).Code == core::ErrorCode::LogRejected)
        return core::failure(Offset);
      // The append may have succeeded although its acknowledgement was lost, so
      // only the log tells whether the record exists.
      if (auto Ended = readBack(core::ok(Offset)))
        return std::move(*Ended);
      ++Failures;
    }
    return core::Error{core::ErrorCode::LogUnavailable,
                       "it is not known whether the record was appended"};
  }

private:
  using ReadBackResult = std::optional<core::Result<RecordOutcome>>;

  /// Reads to the end of the log.
  /// @return the outcome, an error, or none when the log does not hold the
  ///         record
  ReadBackResult readBack(bool IsAppended) {
    while (Failures < MaxFailures) {
      const core::Result<io::LogRead> Read =
          Log.read(State.NextOffset, ReadBackWait);
      if (!core::ok(Read)) {
        ++Failures;
        Log.pause();
        continue;
      }
      const io::LogRead &Found = core::value(Read);
      if (Found.Trimmed)
        return core::Error{core::ErrorCode::LogTrimmed, "while reading back"};
      if (auto Decided = applyAll(Found))
        return core::Result<RecordOutcome>(std::move(*Decided));
      if (!Found.Records.empty())
        continue;
      if (!IsAppended)
        return std::nullopt;
      ++Failures;
    }
    return std::nullopt;
  }

  std::optional<RecordOutcome> applyAll(const io::LogRead &Found) {
    std::optional<RecordOutcome> Decided;
    core::LogOffset Offset = Found.First;
    for (const std::string &Each : Found.Records) {
      ApplyResult After = applyEncoded(std::move(State), Offset, Each);
      State = std::move(After.State);
      Offset = core::LogOffset(Offset.value() + 1);
      if (!Decided && Each == Bytes)
        Decided = std::move(After.Outcome);
    }
    return Decided;
  }

  L &Log;
  FleetState &State;
  std::string Bytes;
  int Failures = 0;
};

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_PUBLICATION_H
