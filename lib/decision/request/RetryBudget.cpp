#include "filbertvane/decision/request/RetryBudget.h"
#include <algorithm>

namespace filbertvane::decision::request {

void RetryBudget::recordSuccess() {
  Thousandths =
      std::min(Thousandths + ThousandthsPerSuccess, MaxRetries * 1000);
}

bool RetryBudget::tryConsume() {
  if (Thousandths < 1000)
    return false;
  Thousandths -= 1000;
  return true;
}

} // namespace filbertvane::decision::request
