#ifndef FILBERTVANE_IO_PROXYENGINE_H
#define FILBERTVANE_IO_PROXYENGINE_H

#include "filbertvane/decision/request/Events.h"
#include "filbertvane/io/HttpClient.h"
#include "filbertvane/io/RequestDialect.h"
#include "filbertvane/observe/TraceContext.h"

namespace filbertvane::io {

/// @brief An answer kept by the owner of a key for later repeats.
struct StoredAnswer {
  int Status = 0;
  Headers Fields;
  std::string Body;
};

/// @brief One finished hop of a request, for traces and metrics.
struct HopRecord {
  observe::TraceContext Context;
  /// Span of the previous hop; empty at the start of a trace.
  std::string ParentSpan;
  std::string Method;
  std::string Path;
  bool FromNode = false;
  /// Status of the answer; 0 when the caller went away before it.
  int Status = 0;
  core::Instant Begin;
  core::Instant End;
};

/// @brief Carries requests from the callers and peers ports to targets and
///        other nodes, as the decision code says.
///
/// Input becomes events of decision/request/Events.h; the function given at
/// construction returns effects, which are executed at once.
class ProxyEngine {
public:
  struct Options {
    /// `ip:port` of the two servers.
    std::string Callers;
    std::string Peers;
    /// Secret that nodes present to each other.
    std::string PeerKey;
    core::NodeId Self;
    std::uint32_t MaxConnections = 4096;
    std::uint64_t Seed = 0;
    /// Time after which idle connections of other nodes are closed.
    core::Seconds PeerIdleTimeout{75};
    /// Bytes of requests that both servers hold.
    std::shared_ptr<InputBudget> Inputs = std::make_shared<InputBudget>();
    /// Rate of the host's link, on which large answers to other nodes leave
    /// room for short ones; 0: no limit.
    double LinkBytesPerSecond = 0;
    /// Language of callers and targets; null for the product's own interface.
    std::shared_ptr<const RequestDialect> Dialect;
  };

  using Decide = std::function<decision::request::Effects(
      const decision::request::Event &)>;

  /// @brief Effects that concern other parts of the node; unset ones are
  ///        dropped.
  struct Callbacks {
    std::function<void(const decision::request::RequestClaim &)> OnClaim;
    std::function<void(const decision::request::AnswerFromOwner &)>
        OnAnswerFromOwner;
    std::function<void(const decision::request::ObservedAnswer &)> OnObserved;
    std::function<void(const decision::request::SuspectReported &)> OnSuspect;
    std::function<void(const observe::LogEvent &)> OnLog;
    std::function<void(const HopRecord &)> OnHop;
  };

  /// @brief Opens both ports.
  /// @return the engine, or `ProcessListenFailed` with the address
  static core::Result<std::unique_ptr<ProxyEngine>>
  create(EventLoop &Loop, HttpClient &Client, Options Settings, Decide OnEvent,
         Callbacks Others);

  virtual ~ProxyEngine() = default;

  /// @brief Hands an event of another part of the node to the decision code
  ///        and executes the effects.
  virtual void handle(const decision::request::Event &Happened) = 0;

  /// @brief Executes effects that another event of the node caused.
  virtual void execute(const decision::request::Effects &All) = 0;

  /// @brief Answers a request with a stored answer.
  virtual void answer(core::CallId Id, const StoredAnswer &Kept) = 0;

  /// @brief Asks the owner of a key for its result and answers the request
  ///        with it; ends with `OwnerReplied`.
  /// @param PeerAddress `ip:port` of the owner's peer port
  virtual void askOwner(const decision::request::AnswerFromOwner &What,
                        const std::string &PeerAddress) = 0;

  /// @brief Changes the idle time-out of callers' new connections.
  virtual void setCallerIdleTimeout(core::Seconds Timeout) = 0;
  /// @brief Closes callers' connections after their next answers.
  virtual void closeAfterAnswers() = 0;
  /// @brief Closes the listening sockets; requests in progress go on.
  virtual void quiesce() = 0;
  /// @brief Requests in progress.
  virtual std::size_t active() const = 0;
  /// @brief Large requests of other nodes that wait for the host's link.
  virtual std::size_t uploadsWaiting() const = 0;
  /// @brief Time that all announced ones take on the link.
  virtual core::Microseconds uploadWait() const = 0;
  virtual std::uint16_t callersPort() const = 0;
  virtual std::uint16_t peersPort() const = 0;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_IO_PROXYENGINE_H
