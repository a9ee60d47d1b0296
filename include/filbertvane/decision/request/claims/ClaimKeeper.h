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
  std::size_t MaxKeys = 150000;
  /// Claims that wait for a decision.
  std::size_t MaxPendingClaims = 10000;
  /// Claims in one batch; a log record holds 256 KiB.
  std::size_t MaxBatchClaims = 2000;
};

/// @brief State of the keeper of one partition.
struct KeeperState {
  explicit KeeperState(KeeperSettings Own)
      : Config(std::move(Own)), Table(this->Config.MaxKeys) {}

  /// @brief A claim without a decision.
  struct PendingClaim {
    std::uint64_t RequestId = 0;
    Claim KeyClaim;
    core::TimePoint Deadline;
    /// Part of the open batch.
    bool InBatch = false;
  };
  /// @brief The batch whose record was not read back yet.
  struct OpenBatch {
    ClaimBatch Batch;
    enum class Stage {
      Sent,
      Acknowledged,
      Unconfirmed
    } CurrentStage = Stage::Sent;
    /// First read that was started after the append's end.
    std::uint64_t ConfirmingRead = 0;
  };

  KeeperSettings Config;
  bool Active = false;

  /// @name Reading
  /// @{
  ClaimTable Table;
  core::LogOffset NextOffset;
  /// The newest read reached the end of the stream.
  bool CaughtUp = false;
  bool ReadInProgress = false;
  std::uint64_t LastReadNumber = 0;
  /// @}

  /// @name Writing
  /// @{
  std::vector<PendingClaim> PendingClaims;
  std::optional<OpenBatch> CurrentBatch;
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
