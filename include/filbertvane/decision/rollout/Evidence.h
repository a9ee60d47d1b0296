#ifndef FILBERTVANE_DECISION_ROLLOUT_EVIDENCE_H
#define FILBERTVANE_DECISION_ROLLOUT_EVIDENCE_H

#include "filbertvane/config/FleetState.h"
#include "filbertvane/decision/request/Events.h"
#include "filbertvane/decision/rollout/Counts.h"
#include <map>
#include <set>
#include <vector>

namespace filbertvane::decision::rollout {

/// Period after which a node or lead sends its evidence while a move is active.
inline constexpr core::Milliseconds EvidencePeriod{250};

/// Least time between two reports of a sender. A fault at the canary is
/// reported at once: so few answers decide there that those of one more period
/// can hide it. Faults of both versions are, so that the comparison stays fair.
inline constexpr core::Milliseconds PromptEvidencePeriod{50};

/// Latencies of a new version do not count for this long after it got its first
/// share: caches and connection pools of cold targets are still empty.
inline constexpr core::Seconds WarmUp{10};

/// Time after completion during which a move is still watched.
inline constexpr core::Seconds WatchAfterCompletion{600};

/// A reader that first hears of a sender this long after a move's acceptance
/// cannot know when the sender's counts arose, and takes them as a baseline.
inline constexpr core::Seconds FreshMove{10};

/// Counts of one move per route.
using MoveCounts = std::map<core::RouteName, RouteCounts>;

/// @brief A request whose target crashed, on one route.
///
/// Such requests are listed instead of counted, so that a request that crashes
/// any target and is sent again through other nodes counts once.
struct Crash {
  core::Digest Request;
  /// The target had the new version.
  bool OfNew = false;

  friend bool operator==(const Crash &, const Crash &) = default;
};

/// Newest crashes per route, newest last.
using MoveCrashes = std::map<core::RouteName, std::vector<Crash>>;

/// @brief Cumulative counts of one sender since it started.
struct Evidence {
  core::NodeId Sender;
  core::Incarnation SenderIncarnation;
  /// Rises with each report of an incarnation.
  std::uint64_t Revision = 0;
  std::map<config::MoveId, MoveCounts> Moves;
  /// At most MaxCrashes per route.
  std::map<config::MoveId, MoveCrashes> Crashes;

  friend bool operator==(const Evidence &, const Evidence &) = default;
};

/// Crashes per route that a report lists.
inline constexpr std::size_t MaxCrashes = 32;

/// @brief Recently seen crashing requests, bounded.
class CrashMemory {
public:
  /// @brief Whether a request was not seen before; remembers it.
  bool isNew(core::Digest Request);

  friend bool operator==(const CrashMemory &, const CrashMemory &) = default;

private:
  static constexpr std::size_t Limit = 256;
  std::vector<core::Digest> Seen;
};

/// @brief Lists a crash in a report.
void list(Evidence &Report, const config::MoveId &Move,
          const core::RouteName &Route, const Crash &Added);

/// @brief Whether answers still count for a move.
bool watched(const config::MoveStatus &Move, core::WallTime Now);

/// @brief Counts answers at a node.
class NodeCounter {
public:
  /// @brief One answer as it counts for a move.
  struct Counted {
    config::MoveId Move;
    core::RouteName Route;
    RouteCounts Added;
    /// Set when the target crashed; it is part of `Added` too.
    std::optional<Crash> Crashed;
  };

  /// @brief Notes which moves have a share now, for the warm-up.
  void noteShares(const config::FleetState &Fleet, core::TimePoint Now);

  /// @brief Counts an answer.
  ///
  /// Answers from another data centre are left out, and so are repeated crashes
  /// by one request, which crashes any target.
  /// @return what was counted; none when the answer concerns no watched move
  std::optional<Counted> record(const request::ObservedAnswer &Answer,
                                const config::FleetState &Fleet,
                                core::Instant Now);

  friend bool operator==(const NodeCounter &, const NodeCounter &) = default;

private:
  CrashMemory Crashes;
  /// Time from which the latencies of a move's new version count.
  std::map<config::MoveId, core::TimePoint> WarmFrom;
};

/// @brief Newest report of each sender, and their sum.
///
/// The sum does not depend on the order in which reports arrive, nor on
/// repeated or lost ones.
class EvidenceTable {
public:
  /// Incarnations of senders that are kept; reports of further ones are
  /// dropped.
  static constexpr std::size_t MaxSenders = 4096;

  /// @brief What a report added.
  struct Merged {
    /// Counts since the last report of the same incarnation, and crashes of
    /// requests that no sender has reported yet.
    std::map<config::MoveId, MoveCounts> Added;
    std::map<config::MoveId, MoveCrashes> Crashes;
    /// False when the report was dropped at the limit.
    bool Kept = true;
  };

  /// @brief Takes over a report.
  /// @param Report counts of a sender; older than the known one: no effect
  /// @param Inherited moves for which an unknown sender's counts are a baseline
  Merged merge(const Evidence &Report,
               const std::set<config::MoveId> &Inherited);

  /// @brief Sum over all senders for a move.
  MoveCounts total(const config::MoveId &Move) const;

  /// @brief Drops the counts of all moves but these.
  void retain(const std::set<config::MoveId> &Moves);

  friend bool operator==(const EvidenceTable &,
                         const EvidenceTable &) = default;

private:
  struct Known {
    std::uint64_t Revision = 0;
    std::map<config::MoveId, MoveCounts> Moves;
    friend bool operator==(const Known &, const Known &) = default;
  };
  bool knowsSender(const core::NodeId &Sender) const;
  void mergeCrashes(const Evidence &Report, Merged &Result);

  CrashMemory Crashes;

  std::map<std::pair<core::NodeId, core::Incarnation>, Known> Of;
};

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_EVIDENCE_H
