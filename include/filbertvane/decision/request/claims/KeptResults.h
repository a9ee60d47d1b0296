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
    std::vector<core::CallId> Waiting;
    /// Insertion number, to recognise entries of the drop order.
    std::uint64_t Number = 0;
  };

  explicit KeptResults(std::size_t MostEntries = 65536,
                       std::size_t MostBytes = 16ULL << 20)
      : MostEntries(MostEntries), MostBytes(MostBytes) {}

  Entry *find(const core::IdempotencyKey &Key);
  Entry &insert(const core::IdempotencyKey &Key, const ClaimOwner &Owner,
                core::Digest RequestDigest);
  void erase(const core::IdempotencyKey &Key);

  /// @brief Records the result of a key and takes its waiting calls out.
  /// @param Answer kept when it is not larger than `KeptAnswerLimit`
  std::vector<core::CallId> settle(const core::IdempotencyKey &Key,
                                   ResultState Result,
                                   std::shared_ptr<const KeptAnswer> Answer);

  /// @brief Whether results were dropped since the last call.
  bool tookLimit();

  std::size_t size() const { return Known.size(); }
  std::size_t bytes() const { return Bytes; }

private:
  void dropAnswer(Entry &Which);
  void dropOldest();

  std::size_t MostEntries;
  std::size_t MostBytes;
  std::size_t Bytes = 0;
  std::uint64_t LastNumber = 0;
  bool Dropped = false;
  std::unordered_map<core::IdempotencyKey, Entry> Known;
  /// Settled keys in the order of their settlement.
  std::deque<std::pair<core::IdempotencyKey, std::uint64_t>> Order;
};

} // namespace filbertvane::decision::request::claims

#endif // FILBERTVANE_DECISION_REQUEST_CLAIMS_KEPTRESULTS_H
