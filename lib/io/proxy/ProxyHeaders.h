#ifndef FILBERTVANE_LIB_IO_PROXY_PROXYHEADERS_H
#define FILBERTVANE_LIB_IO_PROXY_PROXYHEADERS_H

#include "filbertvane/io/HttpServer.h"

namespace filbertvane::io::proxy {

inline constexpr const char *RequestField = "Filbertvane-Request";
inline constexpr const char *DeadlineField = "Filbertvane-Deadline";
inline constexpr const char *ServiceField = "Filbertvane-Service";
inline constexpr const char *VersionField = "Filbertvane-Version";
inline constexpr const char *KeyField = "Filbertvane-Key";
inline constexpr const char *PeerKeyField = "Filbertvane-Peer-Key";
inline constexpr const char *OutcomeField = "Filbertvane-Outcome";
inline constexpr const char *RetriedField = "Filbertvane-Retried";

/// @brief Headers that pass a hop: without hop-by-hop headers, without those
///        named by `Connection`, and without `Filbertvane-*`.
Headers endToEnd(const Headers &All);

/// @brief Compares secrets in a time that depends only on the lengths.
bool sameSecret(std::string_view A, std::string_view B);

/// @brief Whole decimal number; none when the text is anything else.
std::optional<std::uint64_t> parseNumber(std::string_view Text);

} // namespace filbertvane::io::proxy

#endif // FILBERTVANE_LIB_IO_PROXY_PROXYHEADERS_H
