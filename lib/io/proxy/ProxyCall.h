#ifndef FILBERTVANE_LIB_IO_PROXY_PROXYCALL_H
#define FILBERTVANE_LIB_IO_PROXY_PROXYCALL_H

#include "HeldBytes.h"
#include "ProxyHeaders.h"
#include "filbertvane/io/ProxyEngine.h"

namespace filbertvane::io::proxy {

namespace request = decision::request;

/// Body bytes that are read before the request is decided on.
inline constexpr std::size_t DigestBodyBytes = std::size_t{16} * 1024;
/// Body bytes that are kept, so that an attempt that was not run can be
/// repeated; larger bodies are streamed once.
inline constexpr std::size_t KeptBodyBytes = std::size_t{64} * 1024;
/// Largest answer handed on as stored result.
inline constexpr std::size_t StoredAnswerBytes = std::size_t{64} * 1024;
/// Queued bytes above which the source of a request's body is held back.
inline constexpr std::size_t QueueBoundBytes = std::size_t{256} * 1024;

class Engine;
class Attempt;

/// @brief One request in progress, from its head to the end of its answer.
struct Call {
  Call(core::CallId Id, ServerExchange &Exchange, bool FromNode,
       HeldBytes &AllAnswers);
  ~Call();

  core::CallId Id;
  /// Null after the caller's side is closed.
  ServerExchange *Exchange;
  bool FromNode;
  RequestHead Head;
  std::string RequestId;
  std::optional<core::IdempotencyKey> Key;
  std::optional<std::uint64_t> DeclaredLength;
  /// Set when a node asks for the kept result of this claim.
  std::optional<request::ClaimOwner> KeptOwner;
  /// Id under which the caller knows the request.
  std::string CallerId;
  /// Id of the request whose run makes this call.
  std::string ParentId;
  /// Time left as stated by a caller or a node with a dialect.
  std::optional<core::Milliseconds> TimeLeft;
  std::optional<request::HopTerms> Terms;
  /// Digest of the key that a caller presented.
  std::optional<config::KeyDigest> Credential;
  /// Whole answer that waits for `DeliverAnswer`.
  std::optional<StoredAnswer> Held;
  HeldBytes::Share AnswerBytes;

  std::string Kept;
  bool UploadRefused = false;
  bool BodyWhole = false;
  bool Arrived = false;
  /// More than the kept part was sent; no further attempt can be made.
  bool Streamed = false;

  std::unique_ptr<Attempt> Current;
  bool AnswerStarted = false;
  bool Over = false;
  HopRecord Hop;
};

/// @brief One sending of a request to a target or to another node.
class Attempt final : public ClientHandler {
public:
  Attempt(Engine &Owner, Call &Of, const request::StartAttempt &What,
          const RequestDialect *Dialect);

  template <typename Client, typename SentRequest>
  void begin(Client &To, SentRequest Sent, bool AwaitsContinue = false) {
    HoldsBody = AwaitsContinue;
    Request = To.send(std::move(Sent), *this);
  }
  void writeBody(std::string_view Part);
  /// @brief The next hop has not asked for the body yet.
  bool holdsBody() const { return HoldsBody; }
  void finishBody() { Request->finishBody(); }
  void pauseAnswer(bool Paused) { Request->pauseAnswer(Paused); }
  core::AttemptId id() const { return What.Attempt; }

  /// @name ClientHandler
  /// @{
  void onHead(const ResponseHead &Head) override;
  void onBody(std::string_view Part) override;
  void onSendable() override;
  void onEnd(ClientEnd End) override;
  /// @}

private:
  bool identityMatches(const ResponseHead &Head) const;
  /// @brief Takes the head of a target's answer in the dialect.
  /// @return false when the answer is not one to this request
  bool takeTargetHead(const ResponseHead &Head);
  void passHead(const ResponseHead &Head);
  void hold(std::string_view Part);
  void end(request::AttemptEnd How);
  request::AttemptEnd classify(ClientEnd End) const;
  std::shared_ptr<const request::KeptAnswer> keptAnswer() const;

  Engine &Owner;
  Call &Of;
  request::StartAttempt What;
  const RequestDialect *Dialect;
  std::unique_ptr<ClientRequest> Request;
  bool HoldsBody = false;
  int Status = 0;
  bool Passed = false;
  /// Collected while `KeepAnswer` is set and the limit is not reached.
  StoredAnswer Answer;
  /// Outcome marked by the next hop; its answer is not passed on.
  std::optional<request::AttemptEnd> Marked;
  bool Retried = false;
  bool Crashed = false;
  /// Nothing was sent.
  bool Unreachable = false;
  /// Head of an answer whose body is held.
  std::optional<ResponseHead> HeldHead;
  std::string HeldBody;
  bool Reached = false;
  bool Misdirected = false;
  std::optional<decision::TargetLoad> Load;
  std::optional<request::TargetStatement> Statement;
  std::uint64_t BodyBytes = 0;
};

/// @brief Headers of an attempt's request.
/// @param Dialect language of targets, null for the product's own interface
Headers attemptFields(const Call &Of, const request::StartAttempt &What,
                      const std::string &PeerKey, core::Instant Now,
                      const RequestDialect *Dialect);
/// @brief Identity of an attempt in `Filbertvane-Request`.
std::string attemptIdentity(const Call &Of, core::AttemptId Id);
/// @brief Whether nothing listens at a local address any more.
bool refusesConnections(const std::string &Address);

} // namespace filbertvane::io::proxy

#endif // FILBERTVANE_LIB_IO_PROXY_PROXYCALL_H
