#include "ProxyFixture.h"

using namespace filbertvane;
using namespace filbertvane::test;

// Guards against requests and answers that change on their way over two nodes.
Test(proxy, a_request_passes_two_nodes_unchanged) {
  for (const std::size_t Bytes : {0, 1, 16384, 65536, 8388608}) {
    Chain Path;
    const std::string Body = patternOf(Bytes);
    Path.call(Body, {{"Idempotency-Key", "k1"}, {"X-Kept", ""}});
    cr_assert(Path.Caller.End == io::ClientEnd::Complete, "%zu", Bytes);
    cr_assert(Path.Caller.Head.Status == 200, "%d", Path.Caller.Head.Status);
    cr_assert(Path.Caller.Body == Body, "body of %zu bytes differs", Bytes);
    cr_assert(Path.Seen.Path == "/book?x=1#y", "%s", Path.Seen.Path.c_str());
    cr_assert(Path.Seen.Fields.count("X-Kept") == 1);
    cr_assert(Path.Host.Arrivals.at(0).Key == core::IdempotencyKey("k1"));
    cr_assert(Path.Host.Arrivals.at(0).RequestDigest ==
              Path.Entry.Arrivals.at(0).RequestDigest);
    cr_assert(Path.Host.Arrivals.at(0).Service == core::ServiceName("booking"));
  }
}

// Guards against callers that set control headers, and against hop-by-hop
// headers that reach the next hop.
Test(proxy, control_and_hop_by_hop_headers_are_stripped) {
  Chain Path;
  Path.TargetFields = {{"Keep-Alive", "9"}, {"Filbertvane-Debug", "1"}};
  Path.call("b", {{"Filbertvane-Request", "forged"},
                  {"filbertvane-service", "forged"},
                  {"Connection", "X-Hop"},
                  {"X-Hop", "1"},
                  {"TE", "trailers"},
                  {"X-Kept", "1"}});
  cr_assert(Path.seen("Filbertvane-Request").substr(0, 3) == "n1-");
  cr_assert(Path.seen("Filbertvane-Service").empty());
  cr_assert(Path.seen("Filbertvane-Peer-Key").empty());
  cr_assert(Path.seen("X-Hop").empty() && Path.seen("TE").empty());
  cr_assert(Path.seen("X-Kept") == "1");
  cr_assert(Path.Caller.Head.Fields.count("Keep-Alive") == 0);
  cr_assert(Path.Caller.Head.Fields.count("Filbertvane-Debug") == 0);
}

// Guards against peers that do not belong to the mesh.
Test(proxy, a_peer_without_the_shared_key_is_refused) {
  Chain Path;
  for (const char *Key : {"", "secreT", "secret1"}) {
    auto What =
        requestTo(Path.Bounded.Loop, urlOf(Path.Host.Engine->peersPort()));
    What.Fields = {{"Filbertvane-Peer-Key", Key}, {"Filbertvane-Request", "r"}};
    Path.Request = Path.Client->send(What, Path.Caller);
    Path.Bounded.run();
    cr_assert(Path.Caller.Head.Status == 403);
    cr_assert(Path.Host.Arrivals.empty());
  }
}

// Guards against an answer that belongs to another request (I5).
Test(proxy, an_answer_with_another_identity_is_dropped) {
  Chain Path;
  Path.TargetFields = {{"Filbertvane-Request", "n1-other/0"}};
  Path.call("b");
  cr_assert(Path.Caller.Head.Status == 504, "%d", Path.Caller.Head.Status);
  cr_assert(Path.Caller.Body.find("[FV503]") == 0);
  cr_assert(Path.Host.Ends.at(0).End == request::AttemptEnd::NoAnswer);
  cr_assert(io::headerOf(Path.Caller.Head.Fields, "Filbertvane-Outcome") ==
            "unknown");
}

// Guards against a refusal that reaches the caller although another target can
// run the request, and against a body that is lost in the second attempt.
Test(proxy, a_not_run_attempt_is_repeated_with_its_body) {
  Chain Path;
  Node Full{Path.Bounded, *Path.Client};
  const auto Busy = listenOn(Path.Bounded.Loop, [](io::ServerExchange &E) {
    auto Handler = std::make_unique<ServerHandler>();
    Handler->BodyEnd = [&E] {
      E.respond(503, "full", {{"Filbertvane-Outcome", "not-run"}});
    };
    return Handler;
  });
  Full.Destinations = {destination(Busy->port(), true)};
  Path.Entry.Destinations.insert(Path.Entry.Destinations.begin(),
                                 destination(Full.Engine->peersPort(), false));
  const std::string Body = patternOf(60000);
  Path.call(Body);
  cr_assert(Path.Caller.Head.Status == 200, "%d", Path.Caller.Head.Status);
  cr_assert(Path.Caller.Body == Body);
  cr_assert(Path.Entry.Ends.at(0).End == request::AttemptEnd::NotRun);
}

// Guards against a broken answer that a node passes on as whole.
Test(proxy, a_broken_answer_stays_broken_over_two_nodes) {
  Chain Path;
  Path.Run = [](io::ServerExchange &E) {
    E.start({200, {}}, std::nullopt);
    E.write(patternOf(300000));
  };
  Path.Caller.OnPart = [&](std::string_view) { Path.Target.reset(); };
  Path.call("b");
  cr_assert(Path.Caller.End == io::ClientEnd::Failed);
  cr_assert(Path.Entry.Ends.at(0).End == request::AttemptEnd::Truncated);
}

// Guards against work for a caller that is gone.
Test(proxy, a_caller_that_goes_away_closes_the_connection_to_the_target) {
  Chain Path;
  Path.Run = [&](io::ServerExchange &) { Path.Request.reset(); };
  Path.call("b");
  cr_assert(Path.TargetClosed && Path.Entry.Gone && Path.Host.Gone);
}

// Guards against a crash that is taken for a slow target.
Test(proxy, a_target_that_stops_listening_counts_as_crashed) {
  Chain Path;
  io::Timer Crash(Path.Bounded.Loop, [&] { Path.Target.reset(); });
  Path.Run = [&](io::ServerExchange &) {
    Crash.arm(Path.Bounded.Loop.now().Mono);
  };
  Path.call("b");
  cr_assert(Path.Caller.Head.Status == 504, "%d", Path.Caller.Head.Status);
  cr_assert(Path.Host.Ends.at(0).TargetCrashed);
}
