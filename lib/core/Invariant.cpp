#include "filbertvane/core/Invariant.h"
#include <cstdlib>
#include <fmt/format.h>

namespace filbertvane::core {

void invariant(bool Condition, const char *Description) {
  if (Condition)
    return;
  fmt::print(stderr, "level=error event=1000 invariant violated: {}\n",
             Description);
  std::abort();
}

} // namespace filbertvane::core
