#include "filbertvane/decision/request/claims/KeptResults.h"

namespace filbertvane::decision::request::claims {

KeptResults::Entry *KeptResults::find(const core::IdempotencyKey &Key) {
  const auto Found = Known.find(Key);
  return Found == Known.end() ? nullptr : &Found->second;
}

KeptResults::Entry &KeptResults::insert(const core::IdempotencyKey &Key,
                                        const ClaimOwner &Owner,
                                        core::Digest RequestDigest) {
  Entry &Added = Known[Key];
  Added.Owner = Owner;
  Added.RequestDigest = RequestDigest;
  Added.State = ResultState::Claiming;
  return Added;
}

void KeptResults::erase(const core::IdempotencyKey &Key) {
  if (Entry *Found = find(Key)) {
    dropAnswer(*Found);
    Known.erase(Key);
  }
}

void KeptResults::dropAnswer(Entry &Which) {
  if (Which.Answer)
    Bytes -= Which.Answer->Bytes.size();
  Which.Answer = nullptr;
}

std::vector<core::CallId>
KeptResults::settle(const core::IdempotencyKey &Key, ResultState Result,
                    std::shared_ptr<const KeptAnswer> Answer) {
  Entry *Found = find(Key);
  if (!Found)
    return {};
  Found->State = Result;
  dropAnswer(*Found);
  if (Answer && Answer->Bytes.size() <= KeptAnswerLimit) {
    Bytes += Answer->Bytes.size();
    Found->Answer = std::move(Answer);
  }
  Found->Number = ++LastNumber;
  Order.emplace_back(Key, Found->Number);
  std::vector<core::CallId> Waiting = std::move(Found->Waiting);
  Found->Waiting.clear();
  while (Bytes > MostBytes || Order.size() > MostEntries)
    dropOldest();
  return Waiting;
}

void KeptResults::dropOldest() {
  const auto [Key, Number] = std::move(Order.front());
  Order.pop_front();
  Entry *Found = find(Key);
  // A key that was settled again has a newer place in the order; one that
  // runs again must not be dropped.
  if (!Found || Found->Number != Number ||
      Found->State == ResultState::Claiming ||
      Found->State == ResultState::Running)
    return;
  Dropped = true;
  erase(Key);
}

bool KeptResults::tookLimit() { return std::exchange(Dropped, false); }

} // namespace filbertvane::decision::request::claims
