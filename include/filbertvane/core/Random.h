#ifndef FILBERTVANE_CORE_RANDOM_H
#define FILBERTVANE_CORE_RANDOM_H

#include <compare>
#include <cstdint>

namespace filbertvane::core {

/// @brief Pseudo-random generator (SplitMix64) that can be stored in a state,
///        so that a reducer stays a pure function.
class Random {
public:
  explicit Random(std::uint64_t Seed = 0) : State(Seed) {}

  /// @brief Next 64 random bits.
  std::uint64_t next() {
    State += 0x9e3779b97f4a7c15ULL;
    std::uint64_t Z = State;
    Z = (Z ^ (Z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    Z = (Z ^ (Z >> 27)) * 0x94d049bb133111ebULL;
    return Z ^ (Z >> 31);
  }

  /// @brief Uniform integer in [0, Bound); Bound must not be 0.
  std::uint64_t below(std::uint64_t Bound) { return next() % Bound; }

  /// @brief Uniform real number in [0, 1).
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

  friend auto operator<=>(const Random &, const Random &) = default;

private:
  std::uint64_t State;
};

} // namespace filbertvane::core

#endif // FILBERTVANE_CORE_RANDOM_H
