#ifndef FILBERTVANE_LIB_IO_CBOR_H
#define FILBERTVANE_LIB_IO_CBOR_H

#include <nlohmann/json.hpp>
#include <string_view>

namespace filbertvane::io {

/// @brief Parses CBOR; a discarded value when the bytes are not valid.
///
/// The parser reports most faults by a discarded value, but throws on an
/// announced size that exceeds the address space.
inline nlohmann::json fromCbor(std::string_view Bytes) {
  try {
    return nlohmann::json::from_cbor(Bytes, true, false);
  } catch (const nlohmann::json::exception &) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
}

} // namespace filbertvane::io

#endif // FILBERTVANE_LIB_IO_CBOR_H
