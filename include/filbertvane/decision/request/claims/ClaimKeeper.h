#ifndef FILBERTVANE_DECISION_REQUEST_CLAIMS_CLAIMKEEPER_H
#define FILBERTVANE_DECISION_REQUEST_CLAIMS_CLAIMKEEPER_H

#include "filbertvane/decision/Step.h"
#include "filbertvane/decision/request/claims/ClaimTable.h"

namespace filbertvane::decision::request::claims {

/// @brief Settings of a claim keeper.
struct KeeperSettings {
  /// Unique for each process and partition.
  core::WriterId Writer;
  /// Maximum age of a key; must not exceed the retention of the log and must be
  /// equal on all nodes.
  core::Seconds Retention{3600};
  /// Claimed keys held in memory.
  std::size_t MaxKeys = 150000;
  /// Claims waiting for a decision.
  std::size_t MaxPendingClaims = 10000;
  /// Claims per batch; a log record is limited to 256 KiB.
  std::size_t MaxBatchClaims = 2000;
};

/// @brief State of the claim keeper of one partition.
struct KeeperState {
  explicit KeeperState(KeeperSettings InitialConfig)
      : Config(std::move(InitialConfig)), Table(this->Config.MaxKeys) {}

  /// @brief A claim without a decision.
  struct PendingClaim {
    std::uint64_t RequestId = 0;
    Claim KeyClaim;
    core::TimePoint Deadline;
    /// Part of the current batch.
    bool InBatch = false;
  };
  /// @brief Batch whose record has not been read back yet.
  struct OpenBatch {
    ClaimBatch Batch;
    enum class Stage {
      Sent,
      Acknowledged,
      Unconfirmed
    } CurrentStage = Stage::Sent;
    /// Number of the first read started after the append ended.
    std::uint64_t ConfirmingRead = 0;
  };

  KeeperSettings Config;
  bool Active = false;

  /// @name Reading
  /// @{
  ClaimTable Table;
  core::LogOffset NextOffset;
  /// The latest read reached the end of the stream.
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

/// @brief Applies one event to the claim keeper of a partition.
///
/// The first claim of a key in log order owns the key. A claim is decided only
/// from records that were read, never from an acknowledgement.
/// Complexity: linear in the claims of a batch; logarithmic in known keys.
Step<KeeperState, KeeperEffects>
reduce(KeeperState Current, const KeeperEvent &Input, core::Instant Now);

} // namespace filbertvane::decision::request::claims

#endif // FILBERTVANE_DECISION_REQUEST_CLAIMS_CLAIMKEEPER_H
