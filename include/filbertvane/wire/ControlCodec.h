#ifndef FILBERTVANE_WIRE_CONTROLCODEC_H
#define FILBERTVANE_WIRE_CONTROLCODEC_H

#include "filbertvane/core/Result.h"
#include "filbertvane/wire/ControlMessage.h"

namespace filbertvane::wire {

/// Bytes of a control message, without the length in front of it.
inline constexpr std::size_t MaxFrameBytes = std::size_t{1024} * 1024;

/// @brief Encodes a message (Thrift compact protocol).
/// @return the bytes, or `WireTooLarge`
core::Result<std::string> encode(const ControlMessage &Message);

/// @brief Decodes a message; safe for any input.
/// @return the message, `WireTooLarge`, or `WireMalformed`
core::Result<ControlMessage> decode(std::string_view Bytes);

/// @brief Keyed hash by which a node shows that it has the shared key.
///
/// It keeps nodes of another fleet out that were given a wrong address. It is
/// no protection against an attacker who reads the network: the proof can be
/// sent again by anybody, and xxHash is not a cryptographic hash.
core::Digest helloProof(const Hello &Of, std::string_view SharedKey);

} // namespace filbertvane::wire

#endif // FILBERTVANE_WIRE_CONTROLCODEC_H
