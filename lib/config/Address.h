#ifndef FILBERTVANE_LIB_CONFIG_ADDRESS_H
#define FILBERTVANE_LIB_CONFIG_ADDRESS_H

#include <string>

namespace filbertvane::config {

/// @name Address syntax; host names are not accepted
/// @{
/// @brief `ipv4:port` or `[ipv6]:port` with a port from 1 to 65535.
bool isSocketAddress(const std::string &Text);
/// @brief A socket address other than the wildcards `0.0.0.0` and `[::]`.
bool isConnectableAddress(const std::string &Text);
/// @brief A socket address in 127.0.0.0/8, or `::1`.
bool isLoopbackAddress(const std::string &Text);
/// @brief `http://` and a connectable address, followed by a path if allowed.
bool isHttpUrl(const std::string &Text, bool AllowPath);
/// @}

} // namespace filbertvane::config

#endif // FILBERTVANE_LIB_CONFIG_ADDRESS_H
