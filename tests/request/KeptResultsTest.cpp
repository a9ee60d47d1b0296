#include "KeeperBench.h"
#include <criterion/criterion.h>

using namespace bench;

namespace {

struct Owner : Bench {
  const core::IdempotencyKey Key = keyAt(Millis);

  Owner() : Bench(shopFleet(), {endpoint("n1"), endpoint("n2")}) {}

  void book(std::uint64_t Id, std::uint64_t Digest = 7) {
    CallArrived What;
    What.Id = core::CallId(Id);
    What.Path = "/book";
    What.Key = Key;
    What.RequestDigest = core::Digest(Digest);
    handle(What);
  }
  ClaimOwner self(std::uint64_t Call) const {
    return {core::NodeId("n0"), core::Incarnation(1), core::CallId(Call)};
  }
  void decide(std::uint64_t Id, const ClaimOwner &By) {
    handle(ClaimDecided{core::CallId(Id), By, {}});
  }
  void question(std::uint64_t Id, const ClaimOwner &Of) {
    handle(KeptResultRequested{core::CallId(Id), Of, Key, core::Digest(7),
                               instant(Millis + 5000).Wall});
  }
  void answer(std::uint64_t Id) {
    AttemptEnded What;
    What.Id = core::CallId(Id);
    What.Attempt = Now->Calls.at(What.Id).CurrentAttempt;
    What.End = AttemptEnd::Answered;
    What.Status = 200;
    What.FullAnswer =
        std::make_shared<const KeptAnswer>(KeptAnswer{200, "booked"});
    handle(What);
  }
};

} // namespace

// Guards against a second execution for a repeat of the caller (I7).
Test(kept_results, a_repeat_waits_and_gets_the_first_answer) {
  Owner Node;
  Node.book(1);
  cr_assert(Node.first<RequestClaim>()->Owner == Node.self(1), "identity");
  Node.decide(1, Node.self(1));
  cr_assert(Node.first<StartAttempt>()->KeepAnswer, "not kept");
  Node.book(2);
  cr_assert(Node.Last.empty(), "repeat does not wait");
  Node.answer(1);
  cr_assert(Node.first<SendKeptAnswer>()->Id == core::CallId(2), "waits on");
  Node.book(3);
  cr_assert(Node.first<SendKeptAnswer>()->Answer->Bytes == "booked", "late");
  Node.book(4, 8);
  cr_assert(Node.first<Refuse>()->Reason.Code ==
                core::ErrorCode::ClaimKeyReused,
            "another request got the answer");
}

// Guards against a request that can never run after a refusal.
Test(kept_results, a_request_that_did_not_run_may_run_again) {
  Owner Node;
  Node.book(1);
  Node.handle(ClaimDecided{
      core::CallId(1), {}, core::Error{core::ErrorCode::ClaimUndecided, ""}});
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun, "not truthful");
  Node.question(50, Node.self(1));
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun, "other node");
  Node.book(2);
  cr_assert(Node.first<RequestClaim>()->Owner == Node.self(1),
            "another identity would not own its own claim");
  Node.decide(2, Node.self(1));
  cr_assert(Node.first<StartAttempt>(), "never runs");
}

// Guards against a second execution by a node that lost its memory.
Test(kept_results, an_owner_that_forgot_its_claim_answers_unknown) {
  Owner Node;
  Node.book(1);
  ClaimOwner Before = Node.self(1);
  Before.Incarnation = core::Incarnation(0);
  Node.decide(1, Before);
  cr_assert(!Node.first<StartAttempt>(), "ran for an earlier process");
  cr_assert(Node.first<AnswerFromOwner>()->Owner == Before, "not asked");
  Node.handle(OwnerReplied{core::CallId(1), KeptResultState::Unknown});
  cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown, "owner lost");
  Node.question(50, Node.self(77));
  cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown, "evicted");
}

// Guards against the answer of another claim of the same key.
Test(kept_results, a_question_about_another_claim_is_unknown) {
  Owner Node;
  Node.book(1);
  Node.decide(1, Node.self(1));
  Node.answer(1);
  Node.question(50, Node.self(77));
  cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown, "answered");
  Node.question(51, Node.self(1));
  cr_assert(Node.first<SendKeptAnswer>(), "not answered");
}

// Guards against a late send after the caller was given up.
Test(kept_results, a_paused_owner_refuses_what_it_did_not_send) {
  Owner Node;
  Node.book(1);
  Node.Millis += 3600;
  Node.decide(1, Node.self(1));
  cr_assert(!Node.first<StartAttempt>(), "sent after the deadline");
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun, "not truthful");
}

// Guards against a result that is lost because its first caller left.
Test(kept_results, a_claimed_request_outlives_its_caller) {
  Owner Node;
  Node.book(1);
  Node.book(2);
  Node.handle(CallerDisconnected{core::CallId(1)});
  cr_assert(Node.first<RequestClaim>()->Id == core::CallId(2), "abandoned");
  Node.decide(2, Node.self(1));
  Node.handle(CallerDisconnected{core::CallId(2)});
  cr_assert(!Node.first<CancelAttempt>(), "cancelled");
  Node.question(50, Node.self(1));
  Node.answer(2);
  cr_assert(Node.first<SendKeptAnswer>()->Id == core::CallId(50), "lost");
}

// Guards against memory without bound, and against a false answer for what
// was dropped.
Test(kept_results, kept_answers_are_bounded) {
  KeptResults Results(2, 100);
  const auto Settle = [&](std::int64_t Key, std::size_t Size) {
    Results.insert(keyAt(Key), {}, {});
    Results.recordResult(keyAt(Key), ResultState::Answered,
                         std::make_shared<const KeptAnswer>(
                             KeptAnswer{200, std::string(Size, 'x')}));
  };
  Settle(1, 60);
  Settle(2, 60);
  cr_assert(!Results.find(keyAt(1)) && Results.bytes() == 60, "bytes");
  cr_assert(Results.takeLimitReached(), "not reported");
  Settle(3, 10);
  Settle(4, 10);
  cr_assert(Results.size() == 2, "entries");
  KeptResults Large;
  Large.insert(keyAt(1), {}, {});
  Large.recordResult(keyAt(1), ResultState::Answered,
                     std::make_shared<const KeptAnswer>(KeptAnswer{
                         200, std::string(MaxKeptAnswerBytes + 1, 'x')}));
  cr_assert(!Large.find(keyAt(1))->Answer, "one answer above its limit");
}

// Guards against a request that is sent again though nobody waits for it.
Test(kept_results, a_refused_request_without_caller_is_not_sent_again) {
  Owner Node;
  Node.book(1);
  Node.decide(1, Node.self(1));
  Node.handle(CallerDisconnected{core::CallId(1)});
  Node.end(1, AttemptEnd::NotRun);
  cr_assert(Node.Last.empty(), "sent again, or refused to nobody");
  Node.book(2);
  cr_assert(Node.first<RequestClaim>(), "a repeat cannot run it");
}
