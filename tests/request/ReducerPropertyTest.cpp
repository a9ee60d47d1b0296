#include "CallModel.h"
#include <criterion/criterion.h>
#include <numeric>
#include <rapidcheck.h>

using namespace request_fixture;

namespace {

constexpr std::uint32_t Slots = 4;

const char *const Keys[] = {"00000000-0000-7000-8000-000000000001",
                            "00000000-0000-7000-8000-000000000002"};

std::vector<Endpoint> endpoints() {
  return {endpoint("n0", "1", "dc1", Slots), endpoint("n1"), endpoint("n2"),
          endpoint("n3", "2"), endpoint("n4", "1", "dc2")};
}

class Driver {
public:
  Driver() : Model(shopFleet(100), endpoints()) {}

  void step() {
    Model.Node.Millis += Pick(0, 40);
    switch (Pick(0, 14)) {
    case 0:
    case 1:
    case 2:
      return arrive();
    case 3:
      return callerGone();
    case 4:
      return decideClaim();
    case 5:
      return ownerReplies();
    case 6:
      return Model.apply(Tick{}, Slots);
    case 7:
      return started();
    case 8:
      return announce();
    case 9:
      return configure();
    default:
      return endAttempt();
    }
  }

  /// Ends all open attempts and checks that each call has ended.
  void finish() {
    Model.apply(DrainStarted{}, Slots);
    Model.Node.Millis += 3600000;
    Model.apply(Tick{}, Slots);
    for (auto &[Id, Record] : Model.Calls)
      if (Record.OpenAttempt)
        Model.end(Id, AttemptEnd::Truncated, false, 0);
    for (const auto &[Id, Record] : Model.Calls)
      if (!Record.Ended)
        Model.reportViolation("a call did not end");
    if (!Model.Node.Now->Calls.empty())
      Model.reportViolation("an ended call was not removed");
  }

  CallModel Model;

private:
  RandomChoices Pick;
  std::uint64_t LastId = 0;

  void arrive() {
    CallArrived Arrival;
    Arrival.Id = core::CallId(++LastId);
    Arrival.FromNode = Pick(0, 4) == 0;
    Arrival.Path = (Pick(0, 2) == 1) ? "/list" : "/book";
    Arrival.RequestDigest = core::Digest(Pick(0, 9));
    Arrival.Deadline = instant(Model.Node.Millis + Pick(0, 900)).Wall;
    if (Arrival.FromNode) {
      Arrival.Service = core::ServiceName("shop");
      Arrival.Target = core::TargetId("t-n0");
    }
    const int Key = Pick(0, 4);
    if (Key < 2) {
      Arrival.Key = core::IdempotencyKey(Keys[Key]);
      Arrival.RequestDigest = core::Digest(static_cast<std::uint64_t>(Key));
    }
    Model.Calls[LastId].Idempotent = Arrival.Path == "/list";
    Model.apply(Arrival, Slots);
  }

  std::optional<std::uint64_t> anyOpenAttempt() {
    std::vector<std::uint64_t> Open;
    for (const auto &[Id, Record] : Model.Calls)
      if (Record.OpenAttempt)
        Open.push_back(Id);
    if (Open.empty())
      return std::nullopt;
    return Open[Pick(0, Open.size())];
  }

  void endAttempt() {
    const auto Id = anyOpenAttempt();
    if (!Id)
      return;
    auto End = static_cast<AttemptEnd>(Pick(0, 4));
    if (Model.Calls[*Id].Started && End == AttemptEnd::NotRun)
      End = AttemptEnd::NoAnswer;
    const bool Crashed = End == AttemptEnd::NoAnswer && (Pick(0, 2) == 1);
    Model.end(*Id, End, Crashed, Pick(0, 2) == 0 ? 200 : 500);
  }

  void started() {
    if (const auto Id = anyOpenAttempt()) {
      Model.Calls[*Id].Started = true;
      Model.apply(AnswerStarted{core::CallId(*Id),
                                *Model.Calls[*Id].OpenAttempt, 200, 10},
                  Slots);
    }
  }

  void callerGone() {
    if (LastId == 0)
      return;
    const auto Id = Pick(1, LastId + 1);
    CallModel::CallRecord &Record = Model.Calls[Id];
    if (Record.Ended)
      return;
    Model.ended(Record);
    Model.Detached.insert(Id);
    Model.apply(CallerDisconnected{core::CallId(Id)}, Slots);
  }

  void decideClaim() {
    if (Model.Claiming.empty())
      return;
    const std::uint64_t Id = *Model.Claiming.begin();
    Model.Claiming.erase(Model.Claiming.begin());
    const auto Found = Model.Node.Now->Calls.find(core::CallId(Id));
    if (Found == Model.Node.Now->Calls.end() || !Found->second.Key)
      return;
    const auto *Entry = Model.Node.Now->Results.find(*Found->second.Key);
    ClaimDecided Decision{
        core::CallId(Id), Entry ? Entry->Owner : ClaimOwner{}, {}};
    const int Kind = Pick(0, 4);
    if (Kind == 0)
      Decision.Failure = core::Error{core::ErrorCode::ClaimUndecided, ""};
    if (Kind == 1)
      Decision.Owner.Node = core::NodeId("n9");
    Model.apply(Decision, Slots);
  }

  /// Announces a random subset of the targets, which may include the local one.
  void announce() {
    std::vector<Endpoint> Listed;
    for (const Endpoint &Announced : endpoints())
      if (Pick(0, 4) > 0)
        Listed.push_back(Announced);
    Model.apply(EndpointsChanged{Listed}, Slots);
  }

  void configure() {
    const auto Share = static_cast<config::Permille>(Pick(0, 3) * 50);
    Model.apply(
        ConfigurationChanged{
            std::make_shared<const config::FleetState>(shopFleet(Share)), {}},
        Slots);
  }

  void ownerReplies() {
    if (Model.AskingOwner.empty())
      return;
    const std::uint64_t Id = *Model.AskingOwner.begin();
    Model.AskingOwner.erase(Model.AskingOwner.begin());
    const auto Found = Model.Node.Now->Calls.find(core::CallId(Id));
    if (Found == Model.Node.Now->Calls.end() ||
        Found->second.Phase != CallPhase::AwaitingOwner)
      return;
    const auto State = static_cast<KeptResultState>(Pick(1, 4));
    if (State == KeptResultState::Answered)
      Model.ended(Model.Calls[Id]);
    Model.apply(OwnerReplied{core::CallId(Id), State}, Slots);
  }
};

} // namespace

// Guards against duplicate execution, wrong outcomes, calls that end twice or
// never, more running requests than slots and groups without an active target,
// for random orders of events.
Test(request_properties, outcomes_hold_in_any_order_of_events) {
  const bool Passed = rc::check([] {
    Driver Run;
    for (int Step = 0; Step < 150; ++Step)
      Run.step();
    Run.finish();
    if (!Run.Model.Violation.empty())
      RC_FAIL(Run.Model.Violation);
  });
  cr_assert(Passed, "a property was violated");
}

// Guards against a candidate that exceeds its share in some window of requests.
Test(request_properties, each_window_holds_the_share_exactly) {
  const bool Passed = rc::check([] {
    const auto Share = *rc::gen::element<config::Permille>(10, 50, 100, 250);
    const int Window = config::FullShare / Share;
    VersionSelector Selector(
        *rc::gen::inRange<config::Permille>(0, config::FullShare));
    std::vector<int> Chosen;
    Chosen.reserve(static_cast<std::size_t>(Window) * 8);
    for (int Request = 0; Request < Window * 8; ++Request)
      Chosen.push_back(Selector.selectCandidate(Share) ? 1 : 0);
    for (int From = 0; From + Window <= Window * 8; ++From) {
      const auto First = Chosen.begin() + From;
      RC_ASSERT(std::accumulate(First, First + Window, 0) == 1);
    }
  });
  cr_assert(Passed, "a window differs from the share");
}

namespace {

/// Sends a request through a chain of hops whose last target refuses it.
std::uint64_t sendThrough(std::vector<NodeFixture> &Hops, std::size_t Hop,
                          std::uint64_t &LastId, std::uint64_t &Sent,
                          bool &Retried) {
  NodeFixture &Node = Hops[Hop];
  const std::uint64_t Id = ++LastId;
  Node.arrive(Id);
  while (Node.first<StartAttempt>()) {
    AttemptEnded Ended;
    Ended.Id = core::CallId(Id);
    Ended.Attempt = Node.first<StartAttempt>()->Attempt;
    Ended.End = AttemptEnd::NotRun;
    if (Hop + 1 < Hops.size())
      sendThrough(Hops, Hop + 1, LastId, Sent, Ended.RetriedDownstream);
    else
      ++Sent;
    Node.handle(Ended);
  }
  Retried = Node.first<Refuse>()->Retried;
  return Sent;
}

} // namespace

// Guards against retries at each of 20 hops, which multiply to 3^20 requests.
Test(request_properties, a_chain_of_20_hops_stays_within_the_budget) {
  std::vector<NodeFixture> Hops;
  Hops.reserve(20);
  for (std::uint64_t Hop = 0; Hop < 20; ++Hop)
    Hops.emplace_back(shopFleet(), std::vector{endpoint("n1"), endpoint("n2")},
                      Hop);
  std::uint64_t LastId = 0;
  std::uint64_t Sent = 0;
  bool Retried = false;
  const std::uint64_t Requests = 500;
  for (std::uint64_t Request = 0; Request < Requests; ++Request)
    sendThrough(Hops, 0, LastId, Sent, Retried);
  cr_assert(Sent > Requests, "nothing was retried");
  cr_assert(Sent <= Requests + RetryBudget::MaxRetries, "%lu sent",
            static_cast<unsigned long>(Sent));
}
