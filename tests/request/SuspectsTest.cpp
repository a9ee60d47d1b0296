#include "Bench.h"
#include <criterion/criterion.h>

using namespace bench;

namespace {

const core::TimePoint Now{core::Seconds(100)};

const Effects &crash(Bench &Node, std::uint64_t Id) {
  AttemptEnded What;
  What.Id = core::CallId(Id);
  What.Attempt = Node.Now->Calls.at(What.Id).CurrentAttempt;
  What.End = AttemptEnd::NoAnswer;
  What.TargetCrashed = true;
  return Node.handle(What);
}

} // namespace

// Guards against a request that crashes one target after the other.
Test(suspects, a_second_crash_ends_the_request) {
  Bench Node(shopFleet(), {endpoint("n1"), endpoint("n2"), endpoint("n3")});
  Node.arrive(1);
  crash(Node, 1);
  cr_assert(Node.first<ObservedAnswer>()->TargetCrashed,
            "repeats of the crash could not be left out of the evidence");
  cr_assert(Node.first<ObservedAnswer>()->RequestDigest == core::Digest(1),
            "the evidence does not tell the request");
  cr_assert(Node.first<SuspectReported>()->Crashes == 1, "not reported");
  cr_assert(Node.first<StartAttempt>()->Crashes == 1, "not marked");
  crash(Node, 1);
  cr_assert(!Node.first<StartAttempt>(), "sent a third time");
  cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown, "it ran");
  CallArrived Again;
  Again.Id = core::CallId(2);
  Again.Path = "/list";
  Again.RequestDigest = core::Digest(1);
  Node.handle(Again);
  cr_assert(Node.first<Refuse>()->Reason.Code ==
                core::ErrorCode::RequestSuspect,
            "sent again by the caller");
}

// Guards against a suspect of another node that runs among other requests.
Test(suspects, a_suspect_waits_to_run_alone) {
  Bench Node(shopFleet(), {endpoint("n0")});
  Node.arriveHosted(1);
  Node.arriveHosted(2, 2000, 1);
  cr_assert(!Node.first<StartAttempt>(), "runs beside another request");
  Node.end(1, AttemptEnd::Answered);
  cr_assert(Node.first<StartAttempt>()->Id == core::CallId(2), "not run");
}

// Guards against an innocent request that stays a suspect.
Test(suspects, a_request_that_ran_alone_is_cleared) {
  Bench Node(shopFleet(), {endpoint("n0")});
  Node.handle(SuspectLearned{core::Digest(5), 1});
  Node.arriveHosted(5);
  Node.end(5, AttemptEnd::Answered);
  cr_assert(Node.Now->KnownSuspects.size() == 0, "still a suspect");
}

// Guards against unbounded memory and against suspicion without end.
Test(suspects, suspects_are_bounded_and_forgotten) {
  Suspects Known(2);
  Known.record(core::Digest(1), 1, Now);
  Known.record(core::Digest(2), 2, Now + core::Seconds(1));
  Known.record(core::Digest(2), 1, Now + core::Seconds(1));
  cr_assert(Known.crashes(core::Digest(2), Now) == 2, "count fell");
  cr_assert(Known.record(core::Digest(3), 1, Now + core::Seconds(2)), "bound");
  cr_assert(Known.crashes(core::Digest(1), Now) == 0, "the oldest is kept");
  Known.expire(Now + SuspectRetention + core::Seconds(1));
  cr_assert(Known.size() == 1, "not forgotten");
}
