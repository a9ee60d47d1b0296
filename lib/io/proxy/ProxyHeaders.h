#ifndef FILBERTVANE_LIB_IO_PROXY_PROXYHEADERS_H
#define FILBERTVANE_LIB_IO_PROXY_PROXYHEADERS_H

#include "filbertvane/decision/request/Events.h"
#include "filbertvane/io/HttpServer.h"

namespace filbertvane::io::proxy {

inline constexpr const char *RequestField = "Filbertvane-Request";
inline constexpr const char *DeadlineField = "Filbertvane-Deadline";
inline constexpr const char *ServiceField = "Filbertvane-Service";
inline constexpr const char *VersionField = "Filbertvane-Version";
inline constexpr const char *KeyField = "Filbertvane-Key";
/// Target chosen by the entry node.
inline constexpr const char *TargetField = "Filbertvane-Target";
/// Crashes of targets ascribed to the request so far.
inline constexpr const char *CrashesField = "Filbertvane-Crashes";
/// The target crashed while it ran the request.
inline constexpr const char *CrashedField = "Filbertvane-Crashed";
/// Claim whose kept result is asked for, and the digest of its request.
inline constexpr const char *KeptOwnerField = "Filbertvane-Kept-Owner";
inline constexpr const char *KeptDigestField = "Filbertvane-Kept-Digest";
inline constexpr const char *PeerKeyField = "Filbertvane-Peer-Key";
inline constexpr const char *OutcomeField = "Filbertvane-Outcome";
inline constexpr const char *RetriedField = "Filbertvane-Retried";
/// Time left in ms, and the terms of the request, between nodes of a mesh.
inline constexpr const char *TermsField = "Filbertvane-Terms";
/// The run of the request counts as a repeat. Not a part of the terms, which
/// earlier versions read to the last word.
inline constexpr const char *RepeatField = "Filbertvane-Repeat";
/// Tenant that sent the request, behind `TenantMark`. Not a part of the terms,
/// for the same reason.
inline constexpr const char *TenantField = "Filbertvane-Tenant";
/// A header without a value would not be sent for a request without a tenant.
inline constexpr const char *TenantMark = "=";
/// Node that sends a request to another one.
inline constexpr const char *SenderField = "Filbertvane-Sender";
/// Service on whose host the request began.
inline constexpr const char *CallerField = "Filbertvane-Caller";
/// Load of the target that answered.
inline constexpr const char *LoadField = "Filbertvane-Load";
/// The target itself refused the request.
inline constexpr const char *ReachedField = "Filbertvane-Reached";

/// @brief Headers that pass a hop: without hop-by-hop headers, without those
///        named by `Connection`, and without `Filbertvane-*`.
Headers endToEnd(const Headers &All);

/// @brief Compares secrets in a time that depends only on the lengths.
bool sameSecret(std::string_view A, std::string_view B);

/// @brief Whole decimal number; none when the text is anything else.
std::optional<std::uint64_t> parseNumber(std::string_view Text);

/// @name Values of headers between nodes
/// @{
/// @brief Time left and terms: `left objective rank flags route`.
struct TermsValue {
  core::Milliseconds TimeLeft{0};
  decision::request::HopTerms Terms;
};
std::string formatTerms(const TermsValue &Value);
/// @return none when the text has another form
std::optional<TermsValue> parseTerms(std::string_view Text);
/// @brief `running waiting slots mean-ms route-ms`.
std::string formatLoad(const decision::TargetLoad &Load);
/// @return none when the text has another form
std::optional<decision::TargetLoad> parseLoad(std::string_view Text);
/// @}

} // namespace filbertvane::io::proxy

#endif // FILBERTVANE_LIB_IO_PROXY_PROXYHEADERS_H
