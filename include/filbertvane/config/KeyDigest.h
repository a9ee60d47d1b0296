#ifndef FILBERTVANE_CONFIG_KEYDIGEST_H
#define FILBERTVANE_CONFIG_KEYDIGEST_H

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>

namespace filbertvane::config {

/// @brief SHA-256 digest of a caller's key.
///
/// Keys are secrets: a node keeps, compares and looks up digests only, so that
/// no key appears in its state, logs or metrics, and the time of a look-up
/// tells nothing about a key.
class KeyDigest {
public:
  static constexpr std::size_t Size = 32;

  KeyDigest() = default;
  /// @brief Digest of a key as the caller presents it.
  static KeyDigest of(std::string_view Key);

  friend auto operator<=>(const KeyDigest &, const KeyDigest &) = default;

private:
  std::array<std::uint8_t, Size> Bytes{};
};

} // namespace filbertvane::config

#endif // FILBERTVANE_CONFIG_KEYDIGEST_H
