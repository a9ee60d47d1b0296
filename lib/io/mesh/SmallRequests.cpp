#include "SmallRequests.h"

namespace filbertvane::io::mesh {

namespace {

/// Larger bodies are refused; an announcement has some 300 bytes.
constexpr std::size_t MaxBodyBytes = std::size_t{64} * 1024;
constexpr int StatusTooLarge = 413;
constexpr std::uint32_t MaxConnections = 128;

class Collector final : public ExchangeHandler {
public:
  Collector(ServerExchange &Exchange, const SmallHandler &Handle)
      : Exchange(Exchange), Handle(Handle) {}

  void onBody(std::string_view Part) override {
    Body.append(Part);
    if (Body.size() <= MaxBodyBytes)
      return;
    Body = std::string();
    Exchange.respond(StatusTooLarge, "", {{"Content-Type", "text/plain"}});
  }
  /// Not called after the refusal of a large body.
  void onBodyEnd() override {
    const SmallAnswer Answer = Handle(Exchange.request(), Body);
    Exchange.respond(Answer.Status, Answer.Body,
                     {{"Content-Type", Answer.ContentType}});
  }
  void onWritable() override {}
  void onClosed(bool) override {}

private:
  ServerExchange &Exchange;
  SmallHandler Handle;
  std::string Body;
};

} // namespace

core::Result<std::unique_ptr<HttpServer>>
listenSmall(EventLoop &Loop, const std::string &Address, SmallHandler Handle,
            std::shared_ptr<InputBudget> Inputs) {
  HttpServer::Options Options;
  Options.Address = Address;
  Options.MaxConnections = MaxConnections;
  Options.Inputs = std::move(Inputs);
  return HttpServer::listen(
      Loop, Options,
      [Handle = std::move(Handle)](
          ServerExchange &Exchange) -> std::unique_ptr<ExchangeHandler> {
        return std::make_unique<Collector>(Exchange, Handle);
      });
}

} // namespace filbertvane::io::mesh
