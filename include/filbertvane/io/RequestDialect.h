#ifndef FILBERTVANE_IO_REQUESTDIALECT_H
#define FILBERTVANE_IO_REQUESTDIALECT_H

#include "filbertvane/core/Ids.h"
#include "filbertvane/decision/request/Events.h"
#include "filbertvane/io/HttpServer.h"

namespace filbertvane::io {

/// @brief What a caller says of its request.
struct CallerTerms {
  /// Id of the request; an answer has to bear it.
  std::string RequestId;
  /// Id of the request whose run makes this call; empty when a client sent it.
  std::string ParentId;
  /// Time that the caller waits for the answer.
  std::optional<core::Milliseconds> TimeLeft;
  /// Digest of the key that the caller presented.
  std::optional<config::KeyDigest> Credential = std::nullopt;
};

/// @brief What a target is told about a request.
struct TargetTerms {
  core::TargetId Expected;
  core::Milliseconds TimeLeft{0};
  /// Service on whose host the request began.
  core::ServiceName Caller;
  /// Tenant that sent the request; empty when it has none. Not set where
  /// callers need no keys: all their headers pass.
  std::optional<core::TenantName> Tenant = std::nullopt;
};

/// @brief What the head of a target's answer means.
struct TargetAnswer {
  enum class Kind {
    /// The answer to this request.
    Sound,
    /// The target refused the request before it ran it.
    NotRun,
    /// Another target stands at the address and did not run the request.
    Misdirected,
    /// The answer is not a complete one to this request.
    Foreign,
  } What = Kind::Sound;
  std::optional<decision::TargetLoad> Load;
  /// Set with `Sound` and `NotRun`: others do not speak for the target.
  std::optional<decision::request::TargetStatement> Statement;
};

/// @brief How callers and targets of one environment speak about requests.
///
/// Without a dialect, callers and targets speak the product's own interface
/// (docs/requests-path.md).
class RequestDialect {
public:
  virtual ~RequestDialect() = default;

  /// @brief Reads the head of a caller's request.
  /// @return the terms, or `RequestMalformed`
  virtual core::Result<CallerTerms>
  readCaller(const RequestHead &Head) const = 0;

  /// @brief Removes the caller's key and the tenant that it claims to be.
  virtual void removeIdentity(Headers &Fields) const = 0;

  /// @brief Replaces the headers that a target expects.
  virtual void setTargetFields(Headers &Fields,
                               const TargetTerms &Terms) const = 0;

  /// @brief Reads the head of a target's answer.
  /// @param RequestId id of the request that was sent
  virtual TargetAnswer readAnswer(const ResponseHead &Head,
                                  const std::string &RequestId) const = 0;

  /// @brief Id of the request that a target's answer names; none when it names
  ///        none.
  virtual std::optional<std::string>
  answeredRequest(const ResponseHead &Head) const = 0;

  /// @brief Headers of an answer that the node gives itself.
  virtual Headers
  refusalFields(std::optional<core::Milliseconds> RetryAfter) const = 0;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_IO_REQUESTDIALECT_H
