#ifndef FILBERTVANE_DECISION_REQUEST_CLAIMS_KEPTRESULTS_H
#define FILBERTVANE_DECISION_REQUEST_CLAIMS_KEPTRESULTS_H

#include "filbertvane/decision/request/Events.h"
#include <deque>
#include <unordered_map>

namespace filbertvane::decision::request::claims {

/// @brief State of a key at the node that claimed it.
enum class ResultState {
  /// The claim is not decided.
  Claiming,
  /// The request was or may be sent.
  Running,
  /// It was answered; the answer is kept unless it did not fit.
  Answered,
  /// It did not run; this node may run it again.
  NotRun,
  /// It may have run.
  Unknown,
};

/// @brief Results of the keys that this node claimed, for repeats.
///
/// Bounded in entries and bytes. Only settled entries are dropped. A dropped
/// key is safe: a repeat claims under a new identity, which is not the first
/// one in the log, and is answered as unknown.
class KeptResults {
public:
  struct Entry {
    ClaimOwner Owner;
    core::Digest RequestDigest;
    ResultState State = ResultState::Claiming;
    std::shared_ptr<const KeptAnswer> Answer;
    /// Calls that wait for the result.
    std::vector<core::CallId> WaitingCalls;
    /// Insertion number, to recognise entries of the drop order.
    std::uint64_t ResultNumber = 0;
  };

  explicit KeptResults(std::size_t MostEntries = 65536,
                       std::size_t MostBytes = 16ULL << 20)
      : MaxEntries(MostEntries), MaxBytes(MostBytes) {}

  Entry *find(const core::IdempotencyKey &Key);
  Entry &insert(const core::IdempotencyKey &Key, const ClaimOwner &Owner,
                core::Digest RequestDigest);
  void erase(const core::IdempotencyKey &Key);

  /// @brief Records the result of a key and takes its waiting calls out.
  /// @param Answer kept when it is not larger than `MaxKeptAnswerBytes`
  std::vector<core::CallId>
  recordResult(const core::IdempotencyKey &Key, ResultState Result,
               std::shared_ptr<const KeptAnswer> Answer);

  /// @brief Whether results were dropped since the last call.
  bool takeLimitReached();

  std::size_t size() const { return Entries.size(); }
  std::size_t bytes() const { return Bytes; }

private:
  void eraseAnswer(Entry &Which);
  void evictOldest();

  std::size_t MaxEntries;
  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  std::uint64_t LastResultNumber = 0;
  bool LimitReached = false;
  std::unordered_map<core::IdempotencyKey, Entry> Entries;
  /// Settled keys in the order of their settlement.
  std::deque<std::pair<core::IdempotencyKey, std::uint64_t>> EvictionOrder;
};

} // namespace filbertvane::decision::request::claims

#endif // FILBERTVANE_DECISION_REQUEST_CLAIMS_KEPTRESULTS_H
