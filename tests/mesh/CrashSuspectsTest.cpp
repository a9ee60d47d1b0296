#include "FleetModel.h"
#include "filbertvane/decision/request/Suspects.h"

using namespace meshbench;
using request::AttemptEnd;
using request::Refuse;
using request::StartAttempt;

namespace {

const core::ServiceName Home("home");
const core::Digest Request(7);

} // namespace

// Guards against the refusal of a request that ran beside the cause of crashes.
Test(crash_suspects, an_answer_clears_a_request) {
  CrashSuspects Suspects;
  Suspects.recordAnswer({Request, Home});
  Suspects.recordCrash({Request, Home}, core::Digest(1), at(0));
  Suspects.recordCrash({Request, Home}, core::Digest(2), at(0));
  cr_assert(!Suspects.isRefused({Request, Home}));
  cr_assert(Suspects.reports(at(0)).empty());
  // Also when other hosts saw it run at crashes.
  Suspects.recordReport({Request, {core::Digest(1), core::Digest(2)}}, at(0));
  cr_assert(!Suspects.isRefused({Request, Home}));
  // Another caller's request of the same path and body is another one.
  cr_assert(Suspects.isRefused({Request, core::ServiceName("shop")}));
}

// Guards against crashes of several hosts that nobody counts together, and
// against one crash that counts more than once.
Test(crash_suspects, crashes_of_all_hosts_count_once_each) {
  CrashSuspects Suspects;
  const core::Digest First(1);
  cr_assert(!Suspects.recordCrash({Request, Home}, First, at(0)));
  cr_assert(!Suspects.recordCrash({Request, Home}, First, at(1)));
  cr_assert(!Suspects.recordReport({Request, {First}}, at(2)));
  cr_assert(!Suspects.isRefused({Request, Home}));
  cr_assert(Suspects.recordReport({Request, {core::Digest(2)}}, at(3)));
  cr_assert(Suspects.isRefused({Request, Home}));
  cr_assert(Suspects.refusedHereCount() == 1);
  // Refused requests are reported until they expire, other suspects for a
  // while.
  const std::int64_t Later = 60000;
  cr_assert(Suspects.reports(at(Later)).size() == 1);
  Suspects.expire(at(3) + request::SuspectRetention);
  cr_assert(!Suspects.isRefused({Request, Home}));
}

// Guards against a target that exits in order and makes what it still runs
// suspect.
Test(crash_suspects, a_leaving_target_does_not_crash) {
  Bench Node;
  Node.configure();
  Node.announce();
  Node.arriveFromPeer(1);
  const auto Running = Node.first<StartAttempt>();
  Node.announce(2, true);
  request::AttemptEnded Ended;
  Ended.Id = Running->Id;
  Ended.Attempt = Running->Attempt;
  Ended.End = AttemptEnd::NoAnswer;
  Ended.TargetCrashed = true;
  Node.send(Ended);
  cr_assert(!Node.first<Refuse>()->TargetCrashed);
  cr_assert(Node.State.Suspects.reports(Node.Now).empty());
}

namespace {

constexpr std::size_t Nodes = 12;
constexpr std::int64_t EndMs = 45000;

/// Nodes of three data centres, whose clients keep all targets in use.
FleetModel fleet(std::uint64_t Seed, std::size_t Nodes = ::Nodes) {
  FleetModel Fleet(Seed, {0.2, 60, milliseconds(10000)});
  Fleet.DataCentres = 3;
  Fleet.Targets["page"].RunTime = milliseconds(100);
  for (std::size_t I = 0; I < Nodes; ++I)
    Fleet.addNode("page");
  for (std::size_t I = 0; I < Nodes; ++I)
    Fleet.addClients(I, "page", 20);
  Fleet.runUntil(5000);
  Fleet.Answers.clear();
  return Fleet;
}

/// Requests that reached targets although the same one had crashed three 3 s
/// before; the most for any crashing request.
std::size_t lateRetries(const FleetModel &Fleet) {
  const auto RequestOf = [](const std::string &Id) {
    return Id.substr(0, Id.find('-'));
  };
  std::map<std::string, std::vector<core::TimePoint>> Crashes;
  for (const auto &[At, Id] : Fleet.Crashes)
    Crashes[RequestOf(Id)].push_back(At);
  std::map<std::string, std::set<std::string>> Late;
  for (const FleetModel::Arrival &Arrival : Fleet.Arrivals) {
    const auto Found = Crashes.find(RequestOf(Arrival.RequestId));
    if (Found != Crashes.end() && Found->second.size() >= 3 &&
        Arrival.At > Found->second[2] + milliseconds(3000))
      Late[Found->first].insert(Arrival.RequestId);
  }
  std::size_t Most = 0;
  for (const auto &[Request, Ids] : Late)
    Most = std::max(Most, Ids.size());
  return Most;
}

} // namespace

// Guards against a request that crashes targets for as long as it is sent
// (review, case 1), also while nodes restart, one by one or all at once.
Test(crash_suspects, a_request_that_crashes_targets_is_stopped) {
  constexpr std::size_t AllowedRetries = 3;
  enum class Disturbance { None, RollingRestart, AllKilled };
  for (const Disturbance Kind :
       {Disturbance::None, Disturbance::RollingRestart, Disturbance::AllKilled})
    for (const std::uint64_t Seed : {1, 2, 3}) {
      FleetModel Fleet = fleet(Seed);
      std::size_t Count = 0;
      for (std::int64_t Now = 5000; Now < EndMs; Now += 700, ++Count) {
        Fleet.runUntil(Now);
        Fleet.sendCrashing(Count % Nodes, "page");
        const bool KillsAll = Kind == Disturbance::AllKilled && Count == 20;
        if (Kind == Disturbance::RollingRestart) {
          Fleet.kill((Count * 5 + 1) % Nodes);
          Fleet.start((Count * 5 + 1) % Nodes);
        }
        for (std::size_t I = 0; KillsAll && I < Nodes; ++I)
          Fleet.kill(I);
        for (std::size_t I = 0; KillsAll && I < Nodes; ++I)
          Fleet.start(I);
      }
      cr_assert(lateRetries(Fleet) <= AllowedRetries,
                "disturbance %d seed %d: %zu", int(Kind), int(Seed),
                lateRetries(Fleet));
      // Other requests, many of which ran at the crashes, are not refused.
      if (Kind == Disturbance::None) {
        Fleet.Answers.clear();
        Fleet.runUntil(EndMs + 5000);
        cr_assert(Fleet.Answers.size() == 1 && Fleet.Answers.contains(200));
      }
    }
}

// Guards against crashes that go uncounted while many requests are refused.
Test(crash_suspects, many_requests_that_crash_targets_are_stopped) {
  constexpr std::size_t AllowedRetries = 3;
  constexpr std::size_t ManyNodes = 40;
  constexpr std::size_t Different = 100;
  FleetModel Fleet = fleet(1, ManyNodes);
  core::Random Source(1);
  for (std::int64_t Now = 5000; Now < EndMs; Now += 100) {
    Fleet.runUntil(Now);
    const std::size_t Entry = Source.below(ManyNodes);
    Fleet.sendCrashing(Entry, "page",
                       static_cast<std::uint16_t>(Source.below(Different)));
  }
  cr_assert(Fleet.Crashes.size() >= 2 * Different, "%zu", Fleet.Crashes.size());
  cr_assert(lateRetries(Fleet) <= AllowedRetries, "%zu", lateRetries(Fleet));
}

// Guards against the same request where its targets fall silent: their
// connections stay open, and the requests that they ran end at their deadlines.
Test(crash_suspects, a_request_that_silences_targets_is_stopped) {
  constexpr std::size_t AllowedRetries = 3;
  for (const std::int64_t PeriodMs : {200, 700})
    for (const std::uint64_t Seed : {1, 2, 3}) {
      FleetModel Fleet = fleet(Seed);
      Fleet.SilentCrashes = true;
      std::size_t Count = 0;
      for (std::int64_t Now = 5000; Now < EndMs; Now += PeriodMs, ++Count) {
        Fleet.runUntil(Now);
        Fleet.sendCrashing(Count % Nodes, "page");
      }
      cr_assert(Fleet.Crashes.size() >= 3, "%zu", Fleet.Crashes.size());
      cr_assert(lateRetries(Fleet) <= AllowedRetries,
                "every %d ms, seed %d: %zu", int(PeriodMs), int(Seed),
                lateRetries(Fleet));
      // Requests that were lost beside it are served.
      Fleet.runUntil(EndMs + 3000);
      Fleet.Answers.clear();
      Fleet.runUntil(EndMs + 8000);
      cr_expect(Fleet.Answers.size() == 1 && Fleet.Answers.contains(200));
    }
}

// Guards against a crash that is not counted since announcements were missing
// before the request that caused it.
Test(crash_suspects, silence_before_a_request_hides_no_crash) {
  Bench Node;
  Node.configure();
  Node.announce();
  for (int Tick = 0; Tick < 5; ++Tick) {
    Node.Now += milliseconds(900);
    Node.send(request::Tick{});
  }
  Node.arriveFromPeer(1);
  cr_assert(Node.first<StartAttempt>().has_value());
  Node.announce(1, false, 2000);
  cr_assert(Node.State.Suspects.reports(Node.Now).size() == 1);
}

// Guards against news that is left out of reports while much is refused.
Test(crash_suspects, many_refused_requests_hide_no_crash) {
  constexpr std::uint64_t Refused = 300;
  CrashSuspects Suspects;
  for (std::uint64_t I = 1; I <= Refused; ++I)
    Suspects.recordReport(
        {core::Digest(~I), {core::Digest(2 * I), core::Digest(2 * I + 1)}},
        at(0));
  Suspects.recordCrash({Request, Home}, core::Digest(1), at(1000));
  std::set<core::Digest> Reported;
  for (std::int64_t Now = 1000; Now < 15000; Now += 250)
    for (const SuspectRequest &Each : Suspects.reports(at(Now)))
      Reported.insert(Each.Request);
  const auto First = Suspects.reports(at(1000));
  cr_expect(std::ranges::any_of(
      First, [](const auto &Each) { return Each.Request == Request; }));
  cr_expect(Reported.size() == Refused + 1, "%zu", Reported.size());
}

// Guards against reports that grow with each crash of a popular request.
Test(crash_suspects, a_report_names_as_many_crashes_as_refuse_a_request) {
  CrashSuspects Suspects;
  for (std::uint64_t Crash = 1; Crash <= 50; ++Crash)
    Suspects.recordReport({Request, {core::Digest(Crash)}}, at(0));
  cr_assert(Suspects.reports(at(0)).front().Crashes.size() ==
            request::CrashesToRefuse);
}

// Guards against a refusal that never ends since nodes report it to each other.
Test(crash_suspects, a_refusal_ends_on_all_nodes) {
  constexpr std::size_t Hosts = 3;
  CrashSuspects Fleet[Hosts];
  Fleet[0].recordCrash({Request, Home}, core::Digest(1), at(0));
  Fleet[1].recordCrash({Request, Home}, core::Digest(2), at(100));
  const std::int64_t RetentionMs =
      milliseconds(request::SuspectRetention).count();
  for (std::int64_t Now = 100; Now <= RetentionMs + 5000; Now += 50) {
    for (CrashSuspects &Each : Fleet)
      Each.expire(at(Now));
    for (const SuspectRequest &Each : Fleet[Now / 50 % Hosts].reports(at(Now)))
      for (CrashSuspects &Receiver : Fleet)
        Receiver.recordReport(Each, at(Now));
    if (Now == RetentionMs / 2)
      for (const CrashSuspects &Each : Fleet)
        cr_assert(Each.isRefused({Request, Home}));
  }
  for (const CrashSuspects &Each : Fleet)
    cr_expect(!Each.isRefused({Request, Home}));
}

// Guards against a quick request that goes free beside a slow one.
Test(crash_suspects, a_slow_request_beside_it_hides_no_cause) {
  Bench Node;
  Node.configure();
  Node.announce();
  std::uint64_t Calls = 0;
  const auto Send = [&](const std::string &Route, std::uint64_t Digest) {
    request::CallArrived Call;
    Call.Sender = core::NodeId("n1");
    Call.Id = core::CallId(++Calls);
    Call.FromNode = true;
    Call.Target = core::TargetId("own");
    Call.CallerId = fmt::format("c{}", Calls);
    Call.RequestDigest = core::Digest(Digest);
    Call.TimeLeft = milliseconds(2000);
    Call.Terms = request::HopTerms{core::RouteName(Route), milliseconds(2000),
                                   1, true, false};
    Node.send(Call);
    const auto Started = Node.first<StartAttempt>();
    cr_assert(Started.has_value());
    return *Started;
  };
  for (int I = 0; I < 20; ++I) {
    const StartAttempt Quick = Send("list", 1);
    Node.Now += milliseconds(20);
    Node.end(Quick, AttemptEnd::Held, 200, true);
    const StartAttempt Slow = Send("book", 2);
    Node.Now += milliseconds(400);
    Node.end(Slow, AttemptEnd::Held, 200, true);
  }
  Node.announce(2);
  Send("book", 3);
  Node.Now += milliseconds(200);
  Send("list", 4);
  Node.Now += milliseconds(10);
  Node.announce(1, false, 2000);
  cr_assert(Node.State.Suspects.reports(Node.Now).size() == 2, "%zu",
            Node.State.Suspects.reports(Node.Now).size());
}

// Guards against suspects of a target that is only slow, that leaves, or whose
// node did not run.
Test(crash_suspects, silence_for_another_reason_is_no_crash) {
  enum class Reason { Slow, Leaves, NodePaused };
  for (const Reason Why : {Reason::Slow, Reason::Leaves, Reason::NodePaused}) {
    Bench Node;
    Node.configure();
    Node.announce();
    Node.send(request::Tick{});
    Node.arriveFromPeer(1);
    cr_assert(Node.first<StartAttempt>().has_value());
    if (Why == Reason::Leaves)
      Node.announce(2, true);
    if (Why == Reason::NodePaused)
      Node.Now += milliseconds(8000);
    for (std::uint64_t Beat = 3; Beat < 8 && Why != Reason::NodePaused;
         ++Beat) {
      Node.Now += milliseconds(900);
      Node.send(request::Tick{});
      if (Why == Reason::Slow)
        Node.announce(Beat);
    }
    Node.send(request::Tick{});
    cr_assert(Node.State.Suspects.reports(Node.Now).empty(), "%d", int(Why));
  }
}
