#include "NodeFixture.h"
#include <criterion/criterion.h>

using namespace request_fixture;

// Guards against more retries than a tenth of the successes.
Test(retry_budget, ten_successes_earn_one_retry) {
  RetryBudget Budget;
  for (std::uint32_t Retry = 0; Retry < RetryBudget::MaxRetries; ++Retry)
    cr_assert(Budget.tryConsume(), "initial retries not available");
  cr_assert(!Budget.tryConsume(), "more retries than the budget");
  for (int Success = 0; Success < 9; ++Success)
    Budget.recordSuccess();
  cr_assert(!Budget.tryConsume(), "earned too early");
  Budget.recordSuccess();
  cr_assert(Budget.tryConsume(), "not earned");
  for (int Success = 0; Success < 1000; ++Success)
    Budget.recordSuccess();
  cr_assert(Budget.available() == RetryBudget::MaxRetries,
            "the budget is not limited");
}

// Guards against retries without budget, and against an upstream hop that
// retries a request which this hop gave up.
Test(retry_budget, without_budget_a_refusal_is_passed_on_as_retried) {
  NodeFixture Node(shopFleet(), {endpoint("n1"), endpoint("n2")});
  std::size_t Sent = 0;
  for (std::uint64_t Id = 1; Id <= 30; ++Id) {
    Node.arrive(Id);
    while (Node.first<StartAttempt>()) {
      ++Sent;
      Node.end(Id, AttemptEnd::NotRun);
    }
    cr_assert(Node.first<Refuse>()->Retried, "not marked as retried");
  }
  cr_assert(Sent == 30 + RetryBudget::MaxRetries, "%zu sent", Sent);
}
