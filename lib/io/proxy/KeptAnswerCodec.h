#ifndef FILBERTVANE_LIB_IO_PROXY_KEPTANSWERCODEC_H
#define FILBERTVANE_LIB_IO_PROXY_KEPTANSWERCODEC_H

#include "filbertvane/io/ProxyEngine.h"

namespace filbertvane::io {

/// @name Stored answers as bytes (CBOR)
/// @{
std::string encodeAnswer(const StoredAnswer &Answer);
/// @return none when the bytes are not an encoded answer
std::optional<StoredAnswer> decodeAnswer(std::string_view Bytes);
/// @}

/// @name Claim identities as text: `node/start/call`
/// @{
std::string formatOwner(const decision::request::ClaimOwner &Owner);
/// @return none when the text has another form
std::optional<decision::request::ClaimOwner> parseOwner(std::string_view Text);
/// @}

} // namespace filbertvane::io

#endif // FILBERTVANE_LIB_IO_PROXY_KEPTANSWERCODEC_H
