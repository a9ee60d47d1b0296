#include "../../lib/io/ConnectionReuse.h"
#include "HttpFixture.h"
#include "RawPeer.h"
#include <fmt/format.h>
#include <map>

using namespace filbertvane;
using namespace filbertvane::test;

namespace {

std::string get(const std::string &Path, const std::string &Fields = "") {
  return "GET " + Path + " HTTP/1.1\r\nHost: a\r\n" + Fields + "\r\n";
}

/// Server whose answers the test gives, by path.
struct OpenRequests {
  explicit OpenRequests(BoundedLoop &Bounded)
      : Server(listenOn(Bounded.Loop, [this](io::ServerExchange &Exchange) {
          const std::string Path = Exchange.request().Path;
          Exchanges[Path] = &Exchange;
          auto Handler = std::make_unique<ServerHandler>();
          Handler->Closed = [this, Path](bool Whole) {
            Exchanges.erase(Path);
            Ends[Path] = Whole;
          };
          return Handler;
        })) {}

  std::map<std::string, io::ServerExchange *> Exchanges;
  std::map<std::string, bool> Ends;
  std::unique_ptr<io::HttpServer> Server;
};

std::size_t count(const std::string &In, const std::string &Text) {
  std::size_t Sum = 0;
  for (std::size_t At = In.find(Text); At != std::string::npos;
       At = In.find(Text, At + 1))
    ++Sum;
  return Sum;
}

constexpr core::Milliseconds Settled{50};

} // namespace

// Guards against a request that waits for the one before it although it could
// run, and against answers in another order than the requests.
Test(http_pipeline, requests_run_together_and_are_answered_in_order) {
  BoundedLoop Bounded;
  OpenRequests Open(Bounded);
  const auto Caller =
      RawConnection::connect(Bounded.Loop, Open.Server->port(), [](auto &) {});
  Caller->send(get("/1") + get("/2") + get("/3"));
  Bounded.runFor(Settled);
  cr_assert(Open.Exchanges.size() == 3);
  Open.Exchanges.at("/3")->respond(200, "three");
  Open.Exchanges.at("/2")->respond(200, "two");
  Bounded.runFor(Settled);
  cr_assert(Caller->Received.empty(), "%s", Caller->Received.c_str());
  Open.Exchanges.at("/1")->respond(200, "one");
  Bounded.runFor(Settled);
  const std::string &Got = Caller->Received;
  cr_assert(count(Got, "HTTP/1.1 200") == 3);
  cr_assert(Got.find("one") < Got.find("two"));
  cr_assert(Got.find("two") < Got.find("three"));
  cr_assert(Open.Ends == (std::map<std::string, bool>{
                             {"/1", true}, {"/2", true}, {"/3", true}}));
}

// Guards against work for a caller that left with several requests open.
Test(http_pipeline, a_caller_that_leaves_ends_all_its_requests) {
  BoundedLoop Bounded;
  OpenRequests Open(Bounded);
  const auto Caller =
      RawConnection::connect(Bounded.Loop, Open.Server->port(), [](auto &) {});
  Caller->send(get("/1") + get("/2"));
  Bounded.runFor(Settled);
  Caller->close();
  Bounded.runFor(Settled);
  cr_assert(Open.Ends ==
            (std::map<std::string, bool>{{"/1", false}, {"/2", false}}));
}

// Guards against a request that is refused or never answered because of where
// the network splits it.
Test(http_pipeline, a_request_may_arrive_in_any_two_pieces) {
  BoundedLoop Bounded;
  const auto Server = listenOn(Bounded.Loop, [](io::ServerExchange &Exchange) {
    auto Handler = std::make_unique<ServerHandler>();
    auto Body = std::make_shared<std::string>();
    Handler->Body = [Body](std::string_view Bytes) { Body->append(Bytes); };
    Handler->BodyEnd = [Body, &Exchange] { Exchange.respond(200, *Body); };
    return Handler;
  });
  const std::string Post = "POST /1 HTTP/1.1\r\nHost: a\r\n";
  const std::string Chunked =
      Post + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
  const std::string Sized = Post + "Content-Length: 4\r\n\r\nbody";
  // Some callers send a line break after a body.
  const std::string Two = fmt::format("{0}\r\n{0}", Sized);
  for (const std::string &Message : {get("/1"), Sized, Chunked, Two}) {
    const std::size_t Requests = count(Message, " HTTP/1.1");
    std::vector<std::unique_ptr<RawConnection>> Callers;
    for (std::size_t Split = 1; Split < Message.size(); ++Split) {
      Callers.push_back(
          RawConnection::connect(Bounded.Loop, Server->port(), [](auto &) {}));
      Callers.back()->send(Message.substr(0, Split));
    }
    Bounded.runFor(Settled);
    for (std::size_t Split = 1; Split < Message.size(); ++Split)
      Callers[Split - 1]->send(Message.substr(Split));
    Bounded.runFor(Settled);
    for (std::size_t Split = 1; Split < Message.size(); ++Split)
      cr_assert(count(Callers[Split - 1]->Received, "HTTP/1.1 200") == Requests,
                "split at %zu of %zu: %s", Split, Message.size(),
                Callers[Split - 1]->Received.c_str());
  }
  // Each byte by itself.
  const auto Slow =
      RawConnection::connect(Bounded.Loop, Server->port(), [](auto &) {});
  for (const char Byte : fmt::format("\r\n{}\r\n\r\n{}", Sized, Chunked)) {
    Slow->send(std::string(1, Byte));
    Bounded.runFor(core::Milliseconds(1));
  }
  Bounded.runFor(Settled);
  cr_assert(count(Slow->Received, "HTTP/1.1 200") == 2, "%s",
            Slow->Received.c_str());
}

// Guards against memory that one caller can take without bound.
Test(http_pipeline, requests_beyond_the_bound_are_not_read) {
  BoundedLoop Bounded;
  OpenRequests Open(Bounded);
  const auto Caller =
      RawConnection::connect(Bounded.Loop, Open.Server->port(), [](auto &) {});
  std::string All;
  for (int I = 0; I < 40; ++I)
    All += get("/" + std::to_string(I));
  Caller->send(All);
  Bounded.runFor(Settled);
  cr_assert(Open.Exchanges.size() == io::ConnectionReuse::MaximumUnanswered);
  Open.Exchanges.at("/0")->respond(200, "");
  Bounded.runFor(Settled);
  cr_assert(Open.Exchanges.contains("/16"));
}

// Guards against a planned stop that closes the connection before the answer to
// a request that was read: the caller sends it again, and it runs twice.
Test(http_pipeline, only_the_last_answer_of_a_planned_stop_closes) {
  BoundedLoop Bounded;
  OpenRequests Open(Bounded);
  const auto Caller =
      RawConnection::connect(Bounded.Loop, Open.Server->port(), [](auto &) {});
  Caller->send(get("/1") + get("/2"));
  Bounded.runFor(Settled);
  Open.Server->closeAfterAnswers();
  // Sent behind a closing answer, so that the caller sends it elsewhere.
  Caller->send(get("/3"));
  Bounded.runFor(Settled);
  cr_assert(!Open.Exchanges.contains("/3"));
  Open.Exchanges.at("/1")->respond(200, "one");
  Bounded.runFor(Settled);
  cr_assert(count(Caller->Received, "Connection: close") == 0);
  cr_assert(!Caller->Ended);
  Open.Exchanges.at("/2")->respond(200, "two");
  Bounded.runFor(Settled);
  cr_assert(count(Caller->Received, "HTTP/1.1 200") == 2);
  cr_assert(count(Caller->Received, "Connection: close") == 1);
  cr_assert(Caller->Ended);
  cr_assert(!Open.Ends.contains("/3"));
}

// Guards against a malformed head that takes the answers before it along.
Test(http_pipeline, a_malformed_head_is_refused_behind_the_answers_before_it) {
  for (const std::string &Bad :
       {std::string("GET / HTTP/1.1\r\n\r\n"), std::string("\x01\r\n\r\n"),
        "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(40000, 'x')}) {
    BoundedLoop Bounded;
    OpenRequests Open(Bounded);
    const auto Caller = RawConnection::connect(
        Bounded.Loop, Open.Server->port(), [](auto &) {});
    Caller->send(get("/1") + Bad);
    Bounded.runFor(Settled);
    cr_assert(Caller->Received.empty() && !Caller->Ended);
    Open.Exchanges.at("/1")->respond(200, "one");
    Bounded.runFor(Settled);
    cr_assert(count(Caller->Received, "HTTP/1.1 200") == 1);
    cr_assert(count(Caller->Received, "HTTP/1.1 4") == 1, "%s",
              Caller->Received.c_str());
    cr_assert(Caller->Ended);
  }
}

// Guards against a malformed request that cuts the answers before it when more
// bytes follow.
Test(http_pipeline, bytes_behind_a_malformed_request_change_nothing) {
  const std::string Chunks =
      "POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string &Bad :
       {std::string("\x01\r\n\r\n"), Chunks + "5\r\nhello\r\nzz\r\n"}) {
    BoundedLoop Bounded;
    OpenRequests Open(Bounded);
    const auto Caller = RawConnection::connect(
        Bounded.Loop, Open.Server->port(), [](auto &) {});
    Caller->send(get("/1") + Bad);
    Bounded.runFor(Settled);
    Caller->send("\x01\x02\r\n\r\n" + get("/3"));
    Bounded.runFor(Settled);
    cr_assert(!Caller->Ended && !Open.Exchanges.contains("/3"));
    cr_assert(!Open.Exchanges.contains("/2"));
    Open.Exchanges.at("/1")->respond(200, "one");
    Bounded.runFor(Settled);
    cr_assert(count(Caller->Received, "HTTP/1.1 200") == 1);
    cr_assert(count(Caller->Received, "HTTP/1.1 400") == 1);
    cr_assert(Caller->Ended);
  }
}

// Guards against a refusal of an upload that its caller never sees, since the
// connection is reset while the body still arrives.
Test(http_pipeline, a_refusal_of_a_large_upload_arrives) {
  constexpr std::size_t Total = std::size_t{8} * 1024 * 1024;
  for (const bool Chunked : {false, true}) {
    BoundedLoop Bounded;
    const auto Server =
        listenOn(Bounded.Loop, [&](io::ServerExchange &Exchange) {
          auto Handler = std::make_unique<ServerHandler>();
          Handler->Body = [&Exchange](std::string_view) {
            Exchange.respond(503, "no room");
          };
          return Handler;
        });
    const auto Client = io::HttpClient::create(Bounded.Loop, {});
    ClientRecorder Recorder;
    Recorder.OnOver = [&] { Bounded.stop(); };
    auto What = requestTo(Bounded.Loop, urlOf(Server->port()));
    What.Method = "POST";
    What.ContentLength = Total;
    if (Chunked)
      What.ContentLength.reset();
    const auto Request = Client->send(std::move(What), Recorder);
    Request->writeBody(patternOf(Total));
    Request->finishBody();
    Bounded.run();
    cr_assert(Recorder.Head.Status == 503);
    cr_assert(Recorder.Body == "no room", "%s", Recorder.Body.c_str());
  }
}

// Guards against an answer with less than its stated length that ends as whole.
Test(http_pipeline, an_answer_that_is_too_short_closes_the_connection) {
  BoundedLoop Bounded;
  OpenRequests Open(Bounded);
  const auto Caller =
      RawConnection::connect(Bounded.Loop, Open.Server->port(), [](auto &) {});
  Caller->send(get("/1"));
  Bounded.runFor(Settled);
  Open.Exchanges.at("/1")->start({200, {}}, 10);
  Open.Exchanges.at("/1")->write("short");
  Open.Exchanges.at("/1")->finish();
  Bounded.runFor(Settled);
  cr_assert(Caller->Ended);
  cr_assert(Open.Ends.at("/1") == false);
}

// Guards against a caller that waits for a sign before it sends its body.
Test(http_pipeline, a_caller_that_waits_is_told_to_continue) {
  BoundedLoop Bounded;
  OpenRequests Open(Bounded);
  const auto Caller =
      RawConnection::connect(Bounded.Loop, Open.Server->port(), [](auto &) {});
  Caller->send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
               "Expect: 100-continue\r\n\r\n");
  Bounded.runFor(Settled);
  cr_assert(Caller->Received == "HTTP/1.1 100 Continue\r\n\r\n");
}

// Guards against an answer to HEAD whose body is read as the next answer.
Test(http_pipeline, an_answer_to_head_has_no_body) {
  BoundedLoop Bounded;
  OpenRequests Open(Bounded);
  const auto Caller =
      RawConnection::connect(Bounded.Loop, Open.Server->port(), [](auto &) {});
  Caller->send("HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n" + get("/2"));
  Bounded.runFor(Settled);
  Open.Exchanges.at("/1")->respond(200, "body");
  Open.Exchanges.at("/2")->respond(200, "next");
  Bounded.runFor(Settled);
  cr_assert(count(Caller->Received, "body") == 0);
  cr_assert(count(Caller->Received, "next") == 1);
  cr_assert(Open.Ends.at("/1") && Open.Ends.at("/2"));
}

namespace {

/// What a caller gets for a chunked body that begins with the given bytes.
std::string answerToBody(const std::string &Body) {
  BoundedLoop Bounded;
  const auto Server = listenOn(Bounded.Loop, [](io::ServerExchange &Exchange) {
    auto Handler = std::make_unique<ServerHandler>();
    Handler->BodyEnd = [&Exchange] { Exchange.respond(200, ""); };
    return Handler;
  });
  const auto Caller =
      RawConnection::connect(Bounded.Loop, Server->port(), [](auto &) {});
  Caller->send("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
               "\r\n" +
               Body);
  constexpr int LongestWait = 60;
  for (int I = 0; I < LongestWait && Caller->Received.empty(); ++I)
    Bounded.runFor(Settled);
  return Caller->Received.substr(0, 12);
}

std::string repeated(const std::string &Text, std::size_t Count) {
  std::string All;
  for (std::size_t I = 0; I < Count; ++I)
    All += Text;
  return All;
}

} // namespace

// Guards against a request whose framing has no end and fills the memory.
Test(http_pipeline, framing_without_end_is_refused) {
  const std::string Large(20000, 'a');
  for (const std::string &Body :
       {"0\r\nA: " + Large, "0\r\n" + repeated("A: b\r\n", 4000), "1;" + Large,
        std::string(20000, '0'),
        repeated("1;a=" + std::string(4000, 'a') + "\r\nx\r\n", 20)})
    cr_assert(answerToBody(Body) == "HTTP/1.1 400", "%s",
              Body.substr(0, 10).c_str());
}

// Guards against a refusal of trailers, extensions and small chunks as callers
// inside the limits send them.
Test(http_pipeline, framing_inside_the_limits_is_taken) {
  for (const std::string &Body :
       {"0\r\nA: " + std::string(15000, 'a') + "\r\n\r\n",
        "1;a=" + std::string(4000, 'a') + "\r\nx\r\n0\r\n\r\n",
        repeated("1\r\nx\r\n", 30000) + "0\r\n\r\n"})
    cr_assert(answerToBody(Body) == "HTTP/1.1 200", "%s",
              Body.substr(0, 10).c_str());
}
