#ifndef FILBERTVANE_LIB_CONFIG_ADDRESS_H
#define FILBERTVANE_LIB_CONFIG_ADDRESS_H

#include <string>

namespace filbertvane::config {

/// @name Forms of addresses; names of hosts are not resolved
/// @{
/// @brief `ipv4:port` or `[ipv6]:port` with a port from 1 to 65535.
bool isAddress(const std::string &Text);
/// @brief An address that names one host, not `0.0.0.0` or `[::]`.
bool isReachable(const std::string &Text);
/// @brief An address of 127.0.0.0/8 or `::1`.
bool isLoopback(const std::string &Text);
/// @brief `http://` followed by an address, and a path when allowed.
bool isHttpUrl(const std::string &Text, bool MayHavePath);
/// @}

} // namespace filbertvane::config

#endif // FILBERTVANE_LIB_CONFIG_ADDRESS_H
