#include "HttpFixture.h"

using namespace filbertvane;
using namespace filbertvane::test;

namespace {

/// Server that answers with the request's body.
io::HttpServer::Acceptor echo(bool Chunked) {
  return [Chunked](io::ServerExchange &Exchange) {
    auto Handler = std::make_unique<ServerHandler>();
    auto Body = std::make_shared<std::string>();
    Handler->Body = [Body](std::string_view Part) { Body->append(Part); };
    Handler->BodyEnd = [Body, Chunked, &Exchange] {
      std::optional<std::uint64_t> Length = Body->size();
      Exchange.start({200, {}}, Chunked ? std::nullopt : Length);
      Exchange.write(*Body);
      Exchange.finish();
    };
    return Handler;
  };
}

void expectEcho(std::size_t Bytes, bool Chunked) {
  BoundedLoop Bounded;
  const auto Server = listenOn(Bounded.Loop, echo(Chunked));
  const auto Client = io::HttpClient::create(Bounded.Loop, {});
  const std::string Sent = patternOf(Bytes);
  ClientRecorder Recorder;
  Recorder.OnOver = [&] { Bounded.stop(); };
  auto What = requestTo(Bounded.Loop, urlOf(Server->port()));
  What.Method = "POST";
  What.ContentLength = Bytes;
  if (Chunked)
    What.ContentLength.reset();
  const auto Request = Client->send(std::move(What), Recorder);
  Request->writeBody(Sent);
  Request->finishBody();
  Bounded.run();
  cr_assert(Recorder.End == io::ClientEnd::Complete, "%zu bytes", Bytes);
  cr_assert(Recorder.Body == Sent, "body of %zu bytes differs", Bytes);
}

/// Server that writes `Total` bytes and never queues more than the bound.
struct BoundedSource {
  static constexpr std::size_t Bound = std::size_t{256} * 1024;
  static constexpr std::size_t Block = std::size_t{64} * 1024;
  std::size_t Total = 0;
  std::size_t Produced = 0;
  std::size_t MaxQueued = 0;

  void pour(io::ServerExchange &Exchange) {
    std::size_t Queued = 0;
    while (Produced < Total && Queued < Bound) {
      Queued = Exchange.write(std::string(Block, 'x'));
      Produced += Block;
      MaxQueued = std::max(MaxQueued, Queued);
    }
    if (Produced == Total)
      Exchange.finish();
  }
};

} // namespace

// Guards against bodies that are lost, doubled or never ended at the sizes at
// which buffers are empty, partly filled and refilled.
Test(http_body, arrives_unchanged_both_ways) {
  for (const std::size_t Bytes :
       {std::size_t{0}, std::size_t{1}, std::size_t{std::size_t{64} * 1024},
        std::size_t{std::size_t{8} * 1024 * 1024}})
    expectEcho(Bytes, false);
}

Test(http_body, arrives_unchanged_without_a_stated_length) {
  for (const std::size_t Bytes : {std::size_t{0}, std::size_t{1},
                                  std::size_t{std::size_t{8} * 1024 * 1024}})
    expectEcho(Bytes, true);
}

// Guards against a whole answer held in memory while its reader is slow.
Test(http_body, a_paused_reader_holds_the_source_back) {
  BoundedLoop Bounded;
  BoundedSource Source;
  Source.Total = std::size_t{64} * 1024 * 1024;
  const auto Server = listenOn(Bounded.Loop, [&](io::ServerExchange &Exchange) {
    auto Handler = std::make_unique<ServerHandler>();
    Handler->BodyEnd = [&] {
      Exchange.start({200, {}}, std::nullopt);
      Source.pour(Exchange);
    };
    Handler->Writable = [&] { Source.pour(Exchange); };
    return Handler;
  });
  const auto Client = io::HttpClient::create(Bounded.Loop, {});
  std::unique_ptr<io::ClientRequest> Request;
  ClientRecorder Recorder;
  bool Held = false;
  Recorder.OnPart = [&](std::string_view) {
    if (!std::exchange(Held, true))
      Request->pauseAnswer(true);
  };
  Recorder.OnOver = [&] { Bounded.stop(); };
  Request =
      Client->send(requestTo(Bounded.Loop, urlOf(Server->port())), Recorder);
  Bounded.runFor(core::Milliseconds(300));
  cr_assert(Held, "no part arrived");
  cr_assert(Source.Produced < std::size_t{16} * 1024 * 1024,
            "%zu bytes were produced", Source.Produced);
  cr_assert(Source.MaxQueued <= BoundedSource::Bound + BoundedSource::Block,
            "%zu bytes were queued", Source.MaxQueued);
  Request->pauseAnswer(false);
  Bounded.run();
  cr_assert(Recorder.End == io::ClientEnd::Complete);
  cr_assert(Recorder.Body.size() == Source.Total);
}

// Guards against an upload that is read although its receiver is held back.
Test(http_body, a_paused_server_holds_the_upload_back) {
  constexpr std::size_t Total = std::size_t{64} * 1024 * 1024;
  BoundedLoop Bounded;
  std::size_t Received = 0;
  io::ServerExchange *Paused = nullptr;
  const auto Server = listenOn(Bounded.Loop, [&](io::ServerExchange &Exchange) {
    auto Handler = std::make_unique<ServerHandler>();
    Handler->Body = [&](std::string_view Part) {
      Received += Part.size();
      if (Paused == nullptr)
        Exchange.pauseBody(true);
      Paused = &Exchange;
    };
    Handler->BodyEnd = [&] { Exchange.respond(200, "ok"); };
    return Handler;
  });
  const auto Client = io::HttpClient::create(Bounded.Loop, {});
  std::unique_ptr<io::ClientRequest> Request;
  std::size_t Written = 0;
  ClientRecorder Recorder;
  const auto Pour = [&] {
    std::size_t Queued = 0;
    while (Written < Total && Queued < BoundedSource::Bound) {
      Queued = Request->writeBody(std::string(BoundedSource::Block, 'x'));
      Written += BoundedSource::Block;
    }
    if (Written == Total)
      Request->finishBody();
  };
  Recorder.OnSendable = Pour;
  Recorder.OnOver = [&] { Bounded.stop(); };
  auto What = requestTo(Bounded.Loop, urlOf(Server->port()));
  What.Method = "PUT";
  What.ContentLength = Total;
  Request = Client->send(std::move(What), Recorder);
  Pour();
  Bounded.runFor(core::Milliseconds(300));
  cr_assert(Paused != nullptr, "no part arrived");
  cr_assert(Received <= std::size_t{64} * 1024, "%zu bytes arrived", Received);
  cr_assert(Written < std::size_t{16} * 1024 * 1024, "%zu bytes were taken",
            Written);
  Paused->pauseBody(false);
  Bounded.run();
  cr_assert(Recorder.End == io::ClientEnd::Complete);
  cr_assert(Received == Total, "%zu bytes arrived", Received);
}
