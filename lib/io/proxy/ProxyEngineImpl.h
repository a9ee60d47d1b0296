#ifndef FILBERTVANE_LIB_IO_PROXY_PROXYENGINEIMPL_H
#define FILBERTVANE_LIB_IO_PROXY_PROXYENGINEIMPL_H

#include "../targets/TargetClient.h"
#include "BulkSender.h"
#include "ProxyCall.h"
#include "UploadQueue.h"
#include <unordered_map>

namespace filbertvane::io::proxy {

namespace decide = decision::mesh;

/// @brief The engine: calls by id, and the execution of effects.
class Engine final : public ProxyEngine {
public:
  Engine(EventLoop &Loop, HttpClient &Client, Options Settings, Decide OnEvent,
         Callbacks Others);
  ~Engine() override;
  core::Status open();

  void handle(const request::Event &Happened) override;
  void execute(const request::Effects &All) override;
  void answer(core::CallId Id, const StoredAnswer &Kept) override;
  void askOwner(const request::AnswerFromOwner &What,
                const std::string &PeerAddress) override;
  void setCallerIdleTimeout(core::Seconds Timeout) override {
    Callers->setIdleTimeout(Timeout);
  }
  void closeAfterAnswers() override { Callers->closeAfterAnswers(); }
  void quiesce() override;
  std::size_t active() const override { return Calls.size(); }
  std::size_t uploadsWaiting() const override { return Uploads.waitingCount(); }
  core::Microseconds uploadWait() const override { return Uploads.wait(); }
  std::uint16_t callersPort() const override { return Callers->port(); }
  std::uint16_t peersPort() const override { return Peers->port(); }

  /// @name Calls of exchanges and attempts
  /// @{
  void takeBody(core::CallId Id, std::string_view Part);
  void takeBodyEnd(core::CallId Id);
  void takeWritable(core::CallId Id);
  void takeClosed(core::CallId Id, bool Whole);
  /// @brief Ends the call after its whole answer.
  void answered(Call &Done, int Status);
  /// @brief Breaks the caller's answer off.
  void brokenOff(Call &Done, int Status);
  void releaseIfOver(core::CallId Id);
  /// @brief Gives the kept part up if it is not the whole body.
  void commitBody(Call &Of);
  /// @}

private:
  std::unique_ptr<ExchangeHandler> accept(ServerExchange &Exchange,
                                          bool FromNode);
  std::optional<core::Error> readControlFields(Call &New);
  std::optional<core::Error> readDialectFields(Call &New);
  Headers refusalFields(const Call &Of, const request::Refuse &What) const;
  std::unique_ptr<ExchangeHandler>
  refuseHead(ServerExchange &Exchange, int Status, const core::Error &Reason);
  void admitUpload(Call &New);
  void refuseUpload(Call &New);
  void arrive(Call &New);
  void arriveForResult(const Call &New);
  Call *find(core::CallId Id);

  void execute(const request::Effect &Do);
  void startAttempt(const request::StartAttempt &What);
  void sendBody(Call &Of);
  void deliver(const request::DeliverAnswer &What);
  void cancelAttempt(const request::CancelAttempt &What);
  void refuse(const request::Refuse &What);
  void refuse(Call &Of, const request::Refuse &What);
  void ownerReplied(core::CallId Id, ClientEnd End, int Status,
                    const std::string &Body);
  void endHop(Call &Done, int Status);
  targets::TargetClient::Options targetOptions();

  EventLoop &Loop;
  HttpClient &Client;
  targets::TargetClient Targets;
  Options Settings;
  Decide OnEvent;
  Callbacks Others;
  core::Random Ids;
  std::uint64_t NextCall = 0;
  /// Outlives the calls, which give their shares back.
  HeldBytes AllAnswers;
  std::unordered_map<core::CallId, std::unique_ptr<Call>> Calls;
  BulkSender Bulk;
  UploadQueue Uploads;
  std::unique_ptr<HttpServer> Callers;
  std::unique_ptr<HttpServer> Peers;
};

} // namespace filbertvane::io::proxy

#endif // FILBERTVANE_LIB_IO_PROXY_PROXYENGINEIMPL_H
