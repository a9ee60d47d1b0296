#include "NodeFixture.h"
#include <criterion/criterion.h>

using namespace request_fixture;

namespace {

const core::TimePoint Now{core::Seconds(100)};

const Effects &crash(NodeFixture &Node, std::uint64_t Id) {
  AttemptEnded Ended;
  Ended.Id = core::CallId(Id);
  Ended.Attempt = Node.Now->Calls.at(Ended.Id).CurrentAttempt;
  Ended.End = AttemptEnd::NoAnswer;
  Ended.TargetCrashed = true;
  return Node.handle(Ended);
}

} // namespace

// Guards against a request that crashes one target after the other.
Test(suspects, a_second_crash_ends_the_request) {
  NodeFixture Node(shopFleet(),
                   {endpoint("n1"), endpoint("n2"), endpoint("n3")});
  Node.arrive(1);
  crash(Node, 1);
  cr_assert(Node.first<ObservedAnswer>()->TargetCrashed,
            "the observation does not report the crash");
  cr_assert(Node.first<ObservedAnswer>()->RequestDigest == core::Digest(1),
            "the observation does not identify the request");
  cr_assert(Node.first<SuspectReported>()->Crashes == 1, "not reported");
  cr_assert(Node.first<StartAttempt>()->Crashes == 1,
            "the crash is not sent along with the retry");
  crash(Node, 1);
  cr_assert(!Node.first<StartAttempt>(), "sent a third time");
  cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown,
            "wrong outcome for a request that ran");
  CallArrived Again;
  Again.Id = core::CallId(2);
  Again.Path = "/list";
  Again.RequestDigest = core::Digest(1);
  Node.handle(Again);
  cr_assert(Node.first<Refuse>()->Reason.Code ==
                core::ErrorCode::RequestSuspect,
            "a repeat by the caller was not refused");
}

// Guards against a suspect reported by another node running along with other
// requests.
Test(suspects, a_suspect_waits_to_run_alone) {
  NodeFixture Node(shopFleet(), {endpoint("n0")});
  Node.arriveHosted(1);
  Node.arriveHosted(2, 2000, 1);
  cr_assert(!Node.first<StartAttempt>(), "runs along with another request");
  Node.end(1, AttemptEnd::Answered);
  cr_assert(Node.first<StartAttempt>()->Id == core::CallId(2), "not run");
}

// Guards against a request that remains suspect although it ran without a
// crash.
Test(suspects, a_request_that_ran_alone_is_cleared) {
  NodeFixture Node(shopFleet(), {endpoint("n0")});
  Node.handle(SuspectLearned{core::Digest(5), 1});
  Node.arriveHosted(5);
  Node.end(5, AttemptEnd::Answered);
  cr_assert(Node.Now->KnownSuspects.size() == 0, "still a suspect");
}

// Guards against unbounded memory, and against suspects that never expire.
Test(suspects, suspects_are_bounded_and_forgotten) {
  Suspects Known(2);
  Known.record(core::Digest(1), 1, Now);
  Known.record(core::Digest(2), 2, Now + core::Seconds(1));
  Known.record(core::Digest(2), 1, Now + core::Seconds(1));
  cr_assert(Known.crashes(core::Digest(2), Now) == 2, "the count decreased");
  cr_assert(Known.record(core::Digest(3), 1, Now + core::Seconds(2)),
            "the eviction was not reported");
  cr_assert(Known.crashes(core::Digest(1), Now) == 0,
            "the oldest suspect was not evicted");
  Known.expire(Now + SuspectRetention + core::Seconds(1));
  cr_assert(Known.size() == 1, "the expired suspect was not removed");
}
