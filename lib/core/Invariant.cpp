#include "filbertvane/core/Invariant.h"
#include <cstdlib>
#include <fmt/format.h>

namespace filbertvane::core {

void invariant(bool Holds, const char *What) {
  if (Holds)
    return;
  fmt::print(stderr, "level=error event=1000 broken invariant: {}\n", What);
  std::abort();
}

} // namespace filbertvane::core
