#ifndef FILBERTVANE_TOOLS_FVPOLICY_COST_H // NOLINT(llvm-header-guard)
#define FILBERTVANE_TOOLS_FVPOLICY_COST_H

#include <cstdint>

namespace filbertvane::policy {

/// @brief Measures reduce() on the usual path and prints one line.
void printCost(std::uint64_t Seed);

} // namespace filbertvane::policy

#endif // FILBERTVANE_TOOLS_FVPOLICY_COST_H
