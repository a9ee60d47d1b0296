#include "filbertvane/io/InputBudget.h"
#include <vector>

namespace filbertvane::io {

void InputBudget::relieve() {
  while (Total > MaxBytes) {
    std::vector<Holder *> All;
    std::vector<decision::connections::ConnectionUse> Uses;
    for (Holder *Each : Holders) {
      All.push_back(Each);
      Uses.push_back(Each->use());
    }
    const auto Chosen = decision::connections::closeForMemory(Uses);
    if (!Chosen)
      return;
    ++Refused.Memory;
    // A dropped connection holds no bytes.
    All[*Chosen]->drop();
  }
}

} // namespace filbertvane::io
