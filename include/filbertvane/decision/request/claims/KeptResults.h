#ifndef FILBERTVANE_DECISION_REQUEST_CLAIMS_KEPTRESULTS_H
#define FILBERTVANE_DECISION_REQUEST_CLAIMS_KEPTRESULTS_H

#include "filbertvane/decision/request/Events.h"
#include <deque>
#include <unordered_map>

namespace filbertvane::decision::request::claims {

/// @brief State of a key on the node that claimed it.
enum class ResultState {
  /// The claim is not decided yet.
  Claiming,
  /// The claim was granted and the request is running.
  Running,
  /// The request was answered; the answer is kept unless it is too large.
  Answered,
  /// The request did not run; this node may run it again.
  NotRun,
  /// The request may have run.
  Unknown,
};

/// @brief Results of the keys that this node claimed, kept for repeats.
///
/// Limited in entries and bytes; only entries with a result are evicted.
/// Eviction cannot cause a second execution: a repeat claims the key under a
/// new identity, which is not the first one in the log, and its outcome is
/// reported as unknown.
class KeptResults {
public:
  struct Entry {
    ClaimOwner Owner;
    core::Digest RequestDigest;
    ResultState State = ResultState::Claiming;
    std::shared_ptr<const KeptAnswer> Answer;
    /// Calls that wait for the result.
    std::vector<core::CallId> WaitingCalls;
    /// Matches the number of the current entry in the eviction order.
    std::uint64_t ResultNumber = 0;
  };

  explicit KeptResults(std::size_t MaxEntries = 65536,
                       std::size_t MaxBytes = 16ULL << 20)
      : MaxEntries(MaxEntries), MaxBytes(MaxBytes) {}

  Entry *find(const core::IdempotencyKey &Key);
  Entry &insert(const core::IdempotencyKey &Key, const ClaimOwner &Owner,
                core::Digest RequestDigest);
  void erase(const core::IdempotencyKey &Key);

  /// @brief Records the result of a key.
  /// @param Answer kept when it is not larger than `MaxKeptAnswerBytes`
  /// @return the calls that waited for the result
  std::vector<core::CallId>
  recordResult(const core::IdempotencyKey &Key, ResultState Result,
               std::shared_ptr<const KeptAnswer> Answer);

  /// @brief Returns whether results were evicted since the last call of this
  ///        function.
  bool takeLimitReached();

  std::size_t size() const { return Entries.size(); }
  std::size_t bytes() const { return Bytes; }

private:
  void eraseAnswer(Entry &Settled);
  void evictOldest();

  std::size_t MaxEntries;
  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  std::uint64_t LastResultNumber = 0;
  bool LimitReached = false;
  std::unordered_map<core::IdempotencyKey, Entry> Entries;
  /// Keys with a result, oldest result first.
  std::deque<std::pair<core::IdempotencyKey, std::uint64_t>> EvictionOrder;
};

} // namespace filbertvane::decision::request::claims

#endif // FILBERTVANE_DECISION_REQUEST_CLAIMS_KEPTRESULTS_H
