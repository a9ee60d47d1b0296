#include "PlatformFleet.h"

using namespace platformfleet;

// Guards against a path that works in parts only: a request of a caller on one
// host is run by the target on another one and answered.
Test(platform_path, a_request_finds_its_target_on_another_host) {
  Fleet All({"home", "shop"});
  All.publish(1);
  All.untilServed(1, "/list/a");
  const Got Answer = All.ask(1, "/book/b", "q1");
  cr_assert(Answer.Status == 200 && Answer.Body == "ok");
  cr_assert(All.instance(2).runs("q1") == 1);
  // The target learns on whose host the request began, whatever was sent.
  cr_assert(All.instance(2).lastCaller() == "home");
  // A path that no route has is not found, and reaches nobody.
  cr_assert(All.ask(1, "/nothing/", "q2").Status == 404);
  cr_assert(All.instance(2).runs("q2") == 0);
}

// Guards against a booking that runs twice after its answer was lost, and
// against a refusal that says it did not run.
Test(platform_path, a_lost_answer_is_never_repeated_for_a_booking) {
  Fleet All({"home", "shop", "shop"});
  All.publish(1);
  All.untilServed(1, "/list/a");
  All.instance(2).loseAnswers(true);
  All.instance(3).loseAnswers(true);
  const Got Answer = All.ask(1, "/book/b", "q1");
  cr_assert(Answer.Status == 502, "%d", Answer.Status);
  cr_assert(All.instance(2).runs("q1") + All.instance(3).runs("q1") == 1);
  // A read is run by the other target.
  All.instance(3).loseAnswers(false);
  for (int I = 0; I < 8; ++I)
    cr_assert(All.ask(1, "/list/a", fmt::format("r{}", I)).Status == 200);
}

// Guards against work for a target after its leaving was acknowledged.
Test(platform_path, a_leaving_target_gets_nothing_more) {
  Fleet All({"home", "shop", "shop"});
  All.publish(1);
  All.untilServed(1, "/list/a");
  All.instance(2).deregister();
  All.until("the acknowledgement",
            [&] { return All.instance(2).acknowledged(); });
  All.untilServed(1, "/list/a");
  const std::size_t Before = All.instance(2).runsInAll();
  for (int I = 0; I < 10; ++I)
    cr_assert(All.ask(1, "/list/a", fmt::format("q{}", I)).Status == 200);
  cr_assert(All.instance(2).runsInAll() == Before);
}

// Guards against service that depends on the store, and against a
// configuration that is missed while it was away or forgot its history.
Test(platform_path, service_goes_on_while_the_store_is_away) {
  Fleet All({"home", "shop"});
  All.publish(1);
  All.untilServed(1, "/list/a");
  All.Store.setMode(tools::StoreMode::Busy);
  for (int I = 0; I < 5; ++I)
    cr_assert(All.ask(1, "/list/a", fmt::format("q{}", I)).Status == 200);
  // The operator moves the routes to another service meanwhile.
  All.publish(2, "home");
  All.Store.forgetHistory();
  All.Store.setMode(tools::StoreMode::Sound);
  int Try = 0;
  while (All.instance(1).runsInAll() == 0) {
    All.ask(1, "/list/a", fmt::format("s{}", Try));
    cr_assert(++Try < 500, "the new configuration is not in force");
  }
  // The former one does not come back.
  const std::size_t Before = All.instance(2).runsInAll();
  for (int I = 0; I < 10; ++I)
    All.ask(1, "/list/a", fmt::format("t{}", I));
  cr_assert(All.instance(2).runsInAll() == Before);
}

// Guards against a booking whose connection closes without a word when its node
// exits (review, case 3).
Test(platform_path, an_exit_tells_the_outcome_of_each_open_request) {
  // The process exits 0.6 s after it was told to stop, before any deadline.
  Fleet All({"shop"}, milliseconds(1000));
  All.publish(1);
  All.untilServed(1, "/list/a");
  All.instance(1).setWork(milliseconds(3000));
  constexpr std::size_t Slots = 4;
  constexpr std::size_t Sent = Slots + 2;
  std::map<int, std::size_t> Answers;
  std::size_t Ended = 0;
  for (std::size_t I = 0; I < Sent; ++I)
    All.send(1, "/book/b", fmt::format("q{}", I), [&](const Got &Answer) {
      ++Answers[Answer.Status];
      ++Ended;
    });
  All.until("runs", [&] { return All.instance(1).runs("q3") > 0; });
  All.node(1).drain();
  All.until("the answers", [&] { return Ended == Sent; });
  cr_assert(Answers[502] == Slots, "%zu running", Answers[502]);
  cr_assert(Answers[503] == Sent - Slots, "%zu queued", Answers[503]);
}

// Guards against bookings that wait at another host until the node of their
// caller exits.
Test(platform_path, a_queue_elsewhere_hears_of_the_exit_of_the_sender) {
  Fleet All({"home", "shop"}, milliseconds(1000));
  All.instance(2).setWork(milliseconds(300));
  All.publish(1);
  All.untilServed(1, "/list/a");
  constexpr std::size_t Slots = 4;
  constexpr std::size_t Sent = 2 * Slots;
  std::map<int, std::size_t> Answers;
  std::size_t Ended = 0;
  for (std::size_t I = 0; I < Sent; ++I)
    All.send(1, "/book/b", fmt::format("q{}", I), [&](const Got &Answer) {
      ++Answers[Answer.Status];
      ++Ended;
    });
  All.until("runs", [&] { return All.instance(2).runsInAll() > Slots; });
  All.node(1).drain();
  All.until("the answers", [&] { return Ended == Sent; });
  cr_assert(Answers[200] == Slots, "%zu answered", Answers[200]);
  cr_assert(Answers[503] == Slots, "%zu refused", Answers[503]);
}

// Guards against an old configuration that stays in force since the answer to a
// read was lost while its connection seems to be open.
Test(platform_path, a_configuration_is_in_force_after_a_silent_outage) {
  constexpr milliseconds ConfigApply{2500};
  Fleet All({"home", "shop", "home", "shop"});
  All.publish(1);
  std::uint64_t Version = 1;
  for (std::size_t Host = 1; Host <= 4; ++Host)
    All.untilServed(Host, "/list/a");
  // From the shortest one to one that many reads are lost in.
  for (const milliseconds Outage :
       {milliseconds(50), milliseconds(700), milliseconds(3000)}) {
    All.runFor(milliseconds(400));
    All.Store.setMode(tools::StoreMode::Silent);
    All.runFor(Outage);
    All.Store.setMode(tools::StoreMode::Sound);
    All.runFor(milliseconds(500));
    ++Version;
    const std::string Added = fmt::format("added{}", Version);
    All.publish(Version, Version % 2 == 0 ? "home" : "shop", Added);
    All.runFor(ConfigApply);
    const std::size_t Old = Version % 2 == 0 ? 2 : 1;
    const auto RunsOfOld = [&] {
      return All.instance(Old).runsInAll() + All.instance(Old + 2).runsInAll();
    };
    const std::size_t Before = RunsOfOld();
    for (std::size_t Host = 1; Host <= 4; ++Host)
      cr_assert(All.ask(Host, "/list/a", fmt::format("q{}-{}", Version, Host))
                    .Status == 200);
    // A route that was added is found.
    for (std::size_t Host = 1; Host <= 4; ++Host) {
      const Got Answer = All.ask(Host, fmt::format("/{}/a", Added),
                                 fmt::format("a{}-{}", Version, Host));
      cr_assert(Answer.Status == 200, "outage of %d ms: status %d",
                int(Outage.count()), Answer.Status);
    }
    cr_assert(RunsOfOld() == Before, "outage of %d ms: %zu stale requests",
              int(Outage.count()), RunsOfOld() - Before);
  }
}

// Guards against a target that goes on getting requests after it said in an
// answer that it leaves.
Test(platform_path, leaving_is_read_from_an_answer) {
  Fleet All({"home", "shop", "shop"});
  All.publish(1);
  All.untilServed(1, "/list/a");
  All.instance(2).addToAnswers({{"Server-Leaving", "1"}});
  for (int I = 0; All.instance(2).runsInAll() == 0; ++I)
    All.ask(1, "/list/a", fmt::format("q{}", I));
  const std::size_t Before = All.instance(2).runsInAll();
  for (int I = 0; I < 10; ++I) {
    const Got Answer = All.ask(1, "/list/a", fmt::format("r{}", I));
    cr_assert(Answer.Status == 200, "%d", Answer.Status);
  }
  cr_assert(All.instance(2).runsInAll() <= Before + 1);
}

// Guards against a target that gets more requests than the limit in its
// answers.
Test(platform_path, a_limit_is_read_from_an_answer) {
  Fleet All({"home", "shop", "shop"});
  All.publish(1);
  All.untilServed(1, "/list/a");
  All.instance(2).addToAnswers({{"Server-Limit", "0.5"}});
  for (int I = 0; All.instance(2).runsInAll() < 2; ++I)
    All.ask(1, "/list/a", fmt::format("q{}", I));
  const std::size_t Before = All.instance(2).runsInAll();
  const core::TimePoint Begin = All.Loop.now().Mono;
  for (int I = 0; I < 20; ++I) {
    const Got Answer = All.ask(1, "/list/a", fmt::format("r{}", I));
    cr_assert(Answer.Status == 200, "%d", Answer.Status);
  }
  const double Seconds =
      std::chrono::duration<double>(All.Loop.now().Mono - Begin).count();
  const auto Runs = static_cast<double>(All.instance(2).runsInAll() - Before);
  cr_assert(Runs <= 1 + 0.5 * Seconds, "%g in %g s", Runs, Seconds);
}

// Guards against a call of a repeated run that its host counts as a first
// request, because the mark of the retry did not arrive.
Test(platform_path, the_host_of_a_retry_charges_the_calls_of_its_run) {
  Fleet All({"home", "shop", "shop"});
  All.publish(1);
  All.untilServed(1, "/list/a");
  All.untilServed(3, "/profile/a");
  All.instance(2).loseAnswers(true);
  All.instance(3).setWork(milliseconds(300));
  const auto IsCharged = [&All] {
    return All.node(3).metrics().find(
               "filbertvane_retries{result=\"repeated_call\",service="
               "\"home\"} 1\n") != std::string::npos;
  };
  for (int I = 0; I < 50 && !IsCharged(); ++I) {
    const std::string Id = fmt::format("q{}", I);
    bool Called = false;
    io::Timer Watch(All.Loop, [&] {
      if (All.instance(3).runs(Id) > 0 && !std::exchange(Called, true))
        All.send(3, "/profile/a", Id + ".c", [](const Got &) {});
      Watch.arm(All.Loop.now().Mono + milliseconds(1));
    });
    Watch.arm(All.Loop.now().Mono);
    const Got Answer = All.ask(1, "/list/a", Id);
    const bool Retried = All.instance(2).runs(Id) > 0;
    cr_assert(Answer.Status == 200, "%d", Answer.Status);
    cr_assert(!IsCharged() || Retried, "%s ran first at the host", Id.c_str());
  }
  cr_assert(IsCharged(), "no request was retried");
}
