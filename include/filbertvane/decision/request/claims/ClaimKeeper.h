#ifndef FILBERTVANE_DECISION_REQUEST_CLAIMS_CLAIMKEEPER_H
#define FILBERTVANE_DECISION_REQUEST_CLAIMS_CLAIMKEEPER_H

#include "filbertvane/decision/Step.h"
#include "filbertvane/decision/request/claims/ClaimTable.h"

namespace filbertvane::decision::request::claims {

/// @brief Figures of a keeper.
struct KeeperSettings {
  /// Different for each process and partition.
  core::WriterId Writer;
  /// Age up to which keys are claimed; at most the retention of the log, and
  /// the same on each node.
  core::Seconds Retention{3600};
  /// Claimed keys that are remembered.
  std::size_t Keys = 150000;
  /// Claims that wait for a decision.
  std::size_t Waiting = 10000;
  /// Claims in one batch; a log record holds 256 KiB.
  std::size_t BatchClaims = 2000;
};

/// @brief State of the keeper of one partition.
struct KeeperState {
  explicit KeeperState(KeeperSettings Own)
      : Own(std::move(Own)), Table(this->Own.Keys) {}

  /// @brief A claim without a decision.
  struct Pending {
    std::uint64_t Request = 0;
    Claim What;
    core::TimePoint Deadline;
    /// Part of the open batch.
    bool Batched = false;
  };
  /// @brief The batch whose record was not read back yet.
  struct OpenBatch {
    ClaimBatch Batch;
    enum class Stage { Sent, Acknowledged, Unsettled } At = Stage::Sent;
    /// First read that was started after the append's end.
    std::uint64_t SettledBy = 0;
  };

  KeeperSettings Own;
  bool Active = false;

  /// @name Reading
  /// @{
  ClaimTable Table;
  core::LogOffset Next;
  /// The newest read reached the end of the stream.
  bool CaughtUp = false;
  bool Reading = false;
  std::uint64_t LastRead = 0;
  /// @}

  /// @name Writing
  /// @{
  std::vector<Pending> Waiting;
  std::optional<OpenBatch> Open;
  std::uint64_t LastSequence = 0;
  /// @}
};

/// @brief Decides about one event of a partition's keeper.
///
/// The first record of a key in log order owns the key. A claim is answered
/// only from records that were read, never from an acknowledgement.
/// Complexity: linear in the claims of a batch; logarithmic in known keys.
Step<KeeperState, KeeperEffects>
reduce(KeeperState Before, const KeeperEvent &What, core::Instant Now);

} // namespace filbertvane::decision::request::claims

#endif // FILBERTVANE_DECISION_REQUEST_CLAIMS_CLAIMKEEPER_H
