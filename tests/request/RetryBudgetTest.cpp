#include "Bench.h"
#include <criterion/criterion.h>

using namespace bench;

// Guards against retries that outgrow a tenth of the successes.
Test(retry_budget, ten_successes_earn_one_retry) {
  RetryBudget Budget;
  for (std::uint32_t Retry = 0; Retry < RetryBudget::MaxRetries; ++Retry)
    cr_assert(Budget.tryConsume(), "saved retries");
  cr_assert(!Budget.tryConsume(), "more than saved");
  for (int Success = 0; Success < 9; ++Success)
    Budget.recordSuccess();
  cr_assert(!Budget.tryConsume(), "earned too early");
  Budget.recordSuccess();
  cr_assert(Budget.tryConsume(), "not earned");
  for (int Success = 0; Success < 1000; ++Success)
    Budget.recordSuccess();
  cr_assert(Budget.available() == RetryBudget::MaxRetries,
            "saved without bound");
}

// Guards against a reducer that does not ask the budget, and against another
// hop's retry of what this one gave up.
Test(retry_budget, without_budget_a_refusal_is_passed_on_as_retried) {
  Bench Node(shopFleet(), {endpoint("n1"), endpoint("n2")});
  std::size_t Sent = 0;
  for (std::uint64_t Id = 1; Id <= 30; ++Id) {
    Node.arrive(Id);
    while (Node.first<StartAttempt>()) {
      ++Sent;
      Node.end(Id, AttemptEnd::NotRun);
    }
    cr_assert(Node.first<Refuse>()->Retried, "not marked");
  }
  cr_assert(Sent == 30 + RetryBudget::MaxRetries, "%zu sent", Sent);
}
