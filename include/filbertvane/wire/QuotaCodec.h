#ifndef FILBERTVANE_WIRE_QUOTACODEC_H
#define FILBERTVANE_WIRE_QUOTACODEC_H

#include "filbertvane/core/Result.h"
#include "filbertvane/decision/mesh/quota/QuotaMessages.h"
#include <string>
#include <string_view>
#include <variant>

namespace filbertvane::wire {

using QuotaMessage = std::variant<decision::mesh::quota::QuotaRequest,
                                  decision::mesh::quota::QuotaReply>;

/// Largest message; a datagram of this size fits the socket's buffer.
inline constexpr std::size_t MaxQuotaBytes = 32768;

/// @brief Whether a datagram is a quota message rather than a host report.
bool isQuotaMessage(std::string_view Bytes);
/// @brief Encodes a message; demands or grants beyond `MaxQuotaBytes` are left
///        out.
std::string encode(const QuotaMessage &Message);
/// @return the message, or `WireMalformed` or `WireTooLarge`
core::Result<QuotaMessage> decodeQuotaMessage(std::string_view Bytes);

} // namespace filbertvane::wire

#endif // FILBERTVANE_WIRE_QUOTACODEC_H
