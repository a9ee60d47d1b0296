#ifndef FILBERTVANE_LIB_IO_REQUESTTEXT_H
#define FILBERTVANE_LIB_IO_REQUESTTEXT_H

#include <string>
#include <string_view>

namespace filbertvane::io {

/// @brief Whether a text can stand in a request line or header without changing
///        the framing.
bool isPlain(std::string_view Text, bool SpaceAllowed);

/// @brief Whether a header is set by the client from the body that it sends.
bool isFraming(const std::string &Name);

/// @brief Length of `http://ip:port`.
std::size_t originLength(const std::string &Url);

/// @brief `ip:port` part of a URL.
std::string addressOf(const std::string &Url);

} // namespace filbertvane::io

#endif // FILBERTVANE_LIB_IO_REQUESTTEXT_H
