#include "ProxyFixture.h"

using namespace filbertvane;
using namespace filbertvane::test;

namespace {

constexpr std::size_t Total = std::size_t{96} * 1024 * 1024;
/// Three connections hold up to about 10 MiB each in the kernel.
constexpr std::size_t HeldBound = std::size_t{48} * 1024 * 1024;
constexpr std::size_t Block = std::size_t{64} * 1024;
constexpr std::size_t QueueBound = std::size_t{256} * 1024;
constexpr core::Milliseconds FlowTime{1000};

} // namespace

// Guards against an answer held in a node's memory while its caller is slow.
Test(proxy_flow, a_slow_caller_holds_the_target_back) {
  Chain Path;
  std::size_t Written = 0;
  const auto Pour = [&](io::ServerExchange &E) {
    std::size_t Queued = 0;
    for (; Written < Total && Queued < QueueBound; Written += Block)
      Queued = E.write(std::string(Block, 'x'));
    if (Written == Total)
      E.finish();
  };
  Path.Run = [&](io::ServerExchange &E) {
    Path.Writable = Pour;
    E.start({200, {}}, std::nullopt);
    Pour(E);
  };
  bool Held = false;
  Path.Caller.OnPart = [&](std::string_view) {
    if (!std::exchange(Held, true))
      Path.Request->pauseAnswer(true);
  };
  io::Timer Release(Path.Bounded.Loop, [&] {
    cr_assert(Written > 0 && Written < HeldBound, "%zu bytes", Written);
    Path.Request->pauseAnswer(false);
  });
  Release.arm(Path.Bounded.Loop.now().Mono + FlowTime);
  Path.call("b");
  cr_assert(Path.Caller.End == io::ClientEnd::Complete);
  cr_assert(Path.Caller.Body.size() == Total);
}

// Guards against an upload held in a node's memory while its target is slow.
Test(proxy_flow, a_slow_target_holds_the_caller_back) {
  Chain Path;
  Path.Run = [](io::ServerExchange &E) { E.respond(200, "ok"); };
  io::ServerExchange *Held = nullptr;
  Path.Part = [&](io::ServerExchange &E) {
    if (Held == nullptr)
      E.pauseBody(true);
    Held = &E;
  };
  std::size_t Written = 0;
  Path.Caller.OnSendable = [&] {
    std::size_t Queued = 0;
    for (; Written < Total && Queued < QueueBound; Written += Block)
      Queued = Path.Request->writeBody(std::string(Block, 'x'));
    if (Written == Total)
      Path.Request->finishBody();
  };
  io::Timer Release(Path.Bounded.Loop, [&] {
    cr_assert(Held != nullptr && Written < HeldBound, "%zu bytes", Written);
    Held->pauseBody(false);
  });
  Release.arm(Path.Bounded.Loop.now().Mono + FlowTime);
  auto What =
      requestTo(Path.Bounded.Loop, urlOf(Path.Entry.Engine->callersPort()));
  What.Method = "PUT";
  What.ContentLength = Total;
  Path.Request = Path.Client->send(std::move(What), Path.Caller);
  Path.Bounded.run();
  cr_assert(Path.Caller.Head.Status == 200, "%d", Path.Caller.Head.Status);
  cr_assert(Path.SeenBody.size() == Total);
}

// Guards against a second attempt that sends only the rest of a body.
Test(proxy_flow, a_body_above_the_kept_size_is_sent_once) {
  Chain Path;
  Path.TargetFields = {{"Filbertvane-Outcome", "not-run"}};
  const auto Other = Path.Host.Destinations.at(0);
  Path.Host.Destinations.push_back(Other);
  Path.call(patternOf(200000));
  cr_assert(Path.Caller.Head.Status == 503, "%d", Path.Caller.Head.Status);
  cr_assert(Path.Host.Ends.size() == 1);
  cr_assert(Path.Host.Gone, "the decision code was not told");
  cr_assert(Path.Entry.Ends.at(0).End == request::AttemptEnd::NotRun);
  cr_assert(Path.Entry.Ends.at(0).RetriedDownstream);
}
