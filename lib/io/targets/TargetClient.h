#ifndef FILBERTVANE_LIB_IO_TARGETS_TARGETCLIENT_H
#define FILBERTVANE_LIB_IO_TARGETS_TARGETCLIENT_H

#include "../SilentPeers.h"
#include "TargetConnection.h"
#include <vector>

namespace filbertvane::io::targets {

/// @brief HTTP client for targets, which may answer a request twice.
///
/// libcurl takes the first answer on a connection for that of the request, so
/// that the copy of an earlier answer costs the request its own. This client
/// matches answers by the id that they repeat. A request is handed over to one
/// connection at most, and never to one that carried a request of the same id.
class TargetClient final : public ConnectionOwner {
public:
  struct Options {
    std::size_t IdleConnections = 512;
    core::Milliseconds ConnectTimeout{500};
    /// Id of the request that an answer names, if it names one.
    std::function<std::optional<std::string>(const ResponseHead &Head)>
        AnsweredRequest;
    /// Called for each answer that no request waits for.
    std::function<void(const std::string &Address, const ResponseHead &Head)>
        OnDropped;
  };

  TargetClient(EventLoop &Loop, Options Settings);
  ~TargetClient() override;

  /// @brief Starts a request; the handler is called from the loop only, never
  ///        from inside `send`.
  /// @param Handler must outlive the returned request; it may destroy the
  ///        request in any of its calls
  std::unique_ptr<ClientRequest> send(TargetRequest Request,
                                      ClientHandler &Handler);

  /// @name Calls of requests
  /// @{
  void cancel(const std::shared_ptr<Transfer> &Cancelled);
  /// @brief Moves the bytes of a transfer soon, from the loop.
  void wake(const std::shared_ptr<Transfer> &Changed);
  /// @}

  /// @name ConnectionOwner
  /// @{
  void end(const std::shared_ptr<Transfer> &Ended, ClientEnd How) override;
  std::optional<std::string>
  answeredRequest(const ResponseHead &Head) const override {
    return Settings.AnsweredRequest(Head);
  }
  void dropped(const TargetConnection &Connection,
               const ResponseHead &Head) override;
  void closed(TargetConnection &Connection) override;
  core::TimePoint now() const override { return Loop.now().Mono; }
  /// @}

private:
  void settle();
  void begin(const std::shared_ptr<Transfer> &Starting);
  void expire(Transfer &Late);
  bool canReuse(const TargetConnection &Connection, const Transfer &For,
                std::optional<core::Seconds> MaxAge) const;
  void closeOverdue(const std::string &Address, core::Seconds MaxIdle);
  TargetConnection *findReusable(const Transfer &For);
  TargetConnection *open(const std::string &Address);
  void limitIdle();

  EventLoop &Loop;
  Options Settings;
  Timer Soon;
  SilentPeers Silent;
  std::vector<std::unique_ptr<TargetConnection>> Connections;
  std::vector<std::shared_ptr<Transfer>> Queued;
  std::vector<std::shared_ptr<Transfer>> Woken;
  /// Kept until no call of them can be on the stack.
  std::vector<std::unique_ptr<TargetConnection>> Closed;
  std::vector<std::shared_ptr<Transfer>> Finished;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace filbertvane::io::targets

#endif // FILBERTVANE_LIB_IO_TARGETS_TARGETCLIENT_H
