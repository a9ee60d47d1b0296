#ifndef FILBERTVANE_CONFIG_PUBLICATION_H
#define FILBERTVANE_CONFIG_PUBLICATION_H

#include "filbertvane/config/Replay.h"
#include "filbertvane/io/LogAnswer.h"
#include "filbertvane/wire/RecordCodec.h"
#include <concepts>

namespace filbertvane::config {

/// @brief The `config` stream as a publisher needs it.
template <typename L>
concept ConfigLog = requires(L &Log, const std::string &Bytes,
                             core::LogOffset From, core::Milliseconds Wait) {
  { Log.append(Bytes) } -> std::same_as<core::Result<core::LogOffset>>;
  { Log.read(From, Wait) } -> std::same_as<core::Result<io::LogRead>>;
  /// Waits before the next attempt after a failure.
  Log.pause();
};

/// Failed attempts, of appends and of reads, before a publisher gives up.
inline constexpr int MaxFailures = 10;
/// Wait of a read that looks for an append whose acknowledgement was lost.
inline constexpr core::Milliseconds ReadBackWait{1000};

/// @brief Reads all records that the log holds and folds them.
/// @return the state, `LogUnavailable`, or `LogTrimmed` when no usable
///         snapshot is there
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

/// @brief Appends one record and follows the log until it is decided.
///
/// The state is carried along, so that the outcome is the one that every
/// reader finds.
template <ConfigLog L> class Publication {
public:
  Publication(L &Log, FleetState &State, const LogRecord &Record)
      : Log(Log), State(State), Bytes(wire::encode(Record)) {}

  /// @return outcome of the record. `LogUnavailable` when it is not known:
  ///         the record may still be decided later.
  core::Result<RecordOutcome> run() {
    while (Failures < MaxFailures) {
      const core::Result<core::LogOffset> Offset = Log.append(Bytes);
      if (!core::ok(Offset) &&
          core::failure(Offset).Code == core::ErrorCode::LogRejected)
        return core::failure(Offset);
      // A lost acknowledgement: what counts is whether the record is there.
      if (auto Ended = readBack(core::ok(Offset)))
        return std::move(*Ended);
      ++Failures;
    }
    return core::Error{core::ErrorCode::LogUnavailable,
                       "it is not known whether the record was appended"};
  }

private:
  using Ending = std::optional<core::Result<RecordOutcome>>;

  /// Reads to the end of the log.
  /// @return the outcome, an error, or none when the record is not there
  Ending readBack(bool IsAppended) {
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
