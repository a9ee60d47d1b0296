#include "filbertvane/decision/request/RetryBudget.h"
#include <algorithm>

namespace filbertvane::decision::request {

void RetryBudget::succeeded() {
  Thousandths = std::min(Thousandths + EarnedPerSuccess, MostSaved * 1000);
}

bool RetryBudget::take() {
  if (Thousandths < 1000)
    return false;
  Thousandths -= 1000;
  return true;
}

} // namespace filbertvane::decision::request
