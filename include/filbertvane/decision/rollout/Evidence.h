#ifndef FILBERTVANE_DECISION_ROLLOUT_EVIDENCE_H
#define FILBERTVANE_DECISION_ROLLOUT_EVIDENCE_H

#include "filbertvane/config/FleetState.h"
#include "filbertvane/decision/request/Events.h"
#include "filbertvane/decision/rollout/Counts.h"
#include <map>
#include <set>
#include <vector>

namespace filbertvane::decision::rollout {

/// Period of the evidence reports of nodes and leads while counts change.
inline constexpr core::Milliseconds EvidencePeriod{250};

/// Minimum time between two reports of a sender. Faults during the canary are
/// reported without waiting for the period, because the few answers that decide
/// there can be masked by those of one more period. This applies to faults of
/// both versions, so that the comparison stays unbiased.
inline constexpr core::Milliseconds MinEvidenceInterval{50};

/// Time after its first share during which latencies of a new version are not
/// counted, since caches and connection pools of cold targets are still empty.
inline constexpr core::Seconds WarmUpDuration{10};

/// Time after completion during which a move is still monitored.
inline constexpr core::Seconds PostCompletionMonitoring{600};

/// Age of a move beyond which the counts in the first report of an unknown
/// sender are taken as a baseline, since it is unknown when they arose.
inline constexpr core::Seconds FirstReportWindow{10};

/// Counts of one move per route.
using MoveCounts = std::map<core::RouteName, RouteCounts>;

/// @brief A request during which the target crashed.
///
/// Reports list these requests instead of counting them, so that a request that
/// crashes any target and is retried through other nodes is counted once.
struct Crash {
  core::Digest RequestDigest;
  /// Whether the target ran the new version.
  bool OnNewVersion = false;

  friend bool operator==(const Crash &, const Crash &) = default;
};

/// Most recent crashes per route, oldest first.
using MoveCrashes = std::map<core::RouteName, std::vector<Crash>>;

/// @brief Report of the cumulative counts of one sender since it started.
struct Evidence {
  core::NodeId Sender;
  core::Incarnation SenderIncarnation;
  /// Increases with each report of an incarnation.
  std::uint64_t Revision = 0;
  std::map<config::MoveId, MoveCounts> Moves;
  /// At most MaxCrashesPerRoute on each route.
  std::map<config::MoveId, MoveCrashes> Crashes;

  friend bool operator==(const Evidence &, const Evidence &) = default;
};

/// Maximum number of crashes per route in a report.
inline constexpr std::size_t MaxCrashesPerRoute = 32;

/// @brief Bounded set of the most recent requests that crashed a target.
class RecentCrashes {
public:
  /// @brief Adds a request; evicts the oldest one beyond the capacity.
  /// @return false when the request was already present
  bool insert(core::Digest Request);

  friend bool operator==(const RecentCrashes &,
                         const RecentCrashes &) = default;

private:
  static constexpr std::size_t Capacity = 256;
  std::vector<core::Digest> Digests;
};

/// @brief Adds a crash to a report and drops the oldest one beyond
///        MaxCrashesPerRoute.
void addCrash(Evidence &Report, const config::MoveId &Move,
              const core::RouteName &Route, const Crash &Added);

/// @brief Whether answers are counted for a move: while it is in progress, and
///        for PostCompletionMonitoring after its completion.
bool isMonitored(const config::MoveStatus &Move, core::WallTime Now);

/// @brief Attributes the answers seen by a node to moves.
class NodeCounter {
public:
  /// @brief Contribution of one answer to a move.
  struct CountedAnswer {
    config::MoveId Move;
    core::RouteName Route;
    RouteCounts Counts;
    /// Set when the target crashed; included in `Counts`.
    std::optional<Crash> Crashed;
  };

  /// @brief Starts the warm-up of moves whose new version got its first share.
  void startWarmUps(const config::FleetState &Fleet, core::TimePoint Now);

  /// @brief Counts an answer.
  ///
  /// Answers from another data centre are ignored, and so are further crashes
  /// by the same request, which would crash any target.
  /// @return the contribution; none when the answer is not counted for any move
  std::optional<CountedAnswer> record(const request::ObservedAnswer &Answer,
                                      const config::FleetState &Fleet,
                                      core::Instant Now);

  friend bool operator==(const NodeCounter &, const NodeCounter &) = default;

private:
  RecentCrashes Crashes;
  /// Time from which latencies of the new version are counted.
  std::map<config::MoveId, core::TimePoint> WarmUpEnds;
};

/// @brief Latest counts of each sender, and their sum.
///
/// The sum does not depend on the order in which reports arrive, nor on
/// duplicated or lost reports.
class EvidenceTable {
public:
  /// Maximum number of sender incarnations; reports of further ones are
  /// dropped.
  static constexpr std::size_t MaxSenders = 4096;

  /// @brief Difference that a report made.
  struct MergeResult {
    /// Increase since the last report of the same incarnation, including the
    /// crashes below.
    std::map<config::MoveId, MoveCounts> Added;
    /// Crashes by requests that no sender has reported yet.
    std::map<config::MoveId, MoveCrashes> Crashes;
    /// False when the report was dropped at the limit.
    bool Accepted = true;
  };

  /// @brief Merges a report; one with an old revision has no effect.
  /// @param BaselineMoves moves for which the counts of an unknown sender are a
  ///        baseline, not new answers
  MergeResult merge(const Evidence &Report,
                    const std::set<config::MoveId> &BaselineMoves);

  /// @brief Counts of a move, summed over all senders.
  MoveCounts total(const config::MoveId &Move) const;

  /// @brief Drops the counts of all other moves.
  void retain(const std::set<config::MoveId> &Moves);

  friend bool operator==(const EvidenceTable &,
                         const EvidenceTable &) = default;

private:
  struct SenderCounts {
    std::uint64_t Revision = 0;
    std::map<config::MoveId, MoveCounts> Moves;
    friend bool operator==(const SenderCounts &,
                           const SenderCounts &) = default;
  };
  bool knowsSender(const core::NodeId &Sender) const;
  void mergeCrashes(const Evidence &Report, MergeResult &Result);

  RecentCrashes Crashes;

  std::map<std::pair<core::NodeId, core::Incarnation>, SenderCounts> BySender;
};

} // namespace filbertvane::decision::rollout

#endif // FILBERTVANE_DECISION_ROLLOUT_EVIDENCE_H
