#include "filbertvane/decision/request/claims/KeptResults.h"

namespace filbertvane::decision::request::claims {

KeptResults::Entry *KeptResults::find(const core::IdempotencyKey &Key) {
  const auto Found = Entries.find(Key);
  return Found == Entries.end() ? nullptr : &Found->second;
}

KeptResults::Entry &KeptResults::insert(const core::IdempotencyKey &Key,
                                        const ClaimOwner &Owner,
                                        core::Digest RequestDigest) {
  Entry &Added = Entries[Key];
  Added.Owner = Owner;
  Added.RequestDigest = RequestDigest;
  Added.State = ResultState::Claiming;
  return Added;
}

void KeptResults::erase(const core::IdempotencyKey &Key) {
  if (Entry *Found = find(Key)) {
    eraseAnswer(*Found);
    Entries.erase(Key);
  }
}

void KeptResults::eraseAnswer(Entry &Settled) {
  if (Settled.Answer)
    Bytes -= Settled.Answer->Bytes.size();
  Settled.Answer = nullptr;
}

std::vector<core::CallId>
KeptResults::recordResult(const core::IdempotencyKey &Key, ResultState Result,
                          std::shared_ptr<const KeptAnswer> Answer) {
  Entry *Found = find(Key);
  if (!Found)
    return {};
  Found->State = Result;
  eraseAnswer(*Found);
  if (Answer && Answer->Bytes.size() <= MaxKeptAnswerBytes) {
    Bytes += Answer->Bytes.size();
    Found->Answer = std::move(Answer);
  }
  Found->ResultNumber = ++LastResultNumber;
  EvictionOrder.emplace_back(Key, Found->ResultNumber);
  std::vector<core::CallId> Waiting = std::move(Found->WaitingCalls);
  Found->WaitingCalls.clear();
  while (Bytes > MaxBytes || EvictionOrder.size() > MaxEntries)
    evictOldest();
  return Waiting;
}

void KeptResults::evictOldest() {
  const auto [Key, Number] = std::move(EvictionOrder.front());
  EvictionOrder.pop_front();
  Entry *Found = find(Key);
  // A key with a newer result has a later entry in the order, and a key that
  // runs again must not be evicted.
  if (!Found || Found->ResultNumber != Number ||
      Found->State == ResultState::Claiming ||
      Found->State == ResultState::Running)
    return;
  LimitReached = true;
  erase(Key);
}

bool KeptResults::takeLimitReached() {
  return std::exchange(LimitReached, false);
}

} // namespace filbertvane::decision::request::claims
