#include "KeeperFixture.h"
#include <criterion/criterion.h>

using namespace request_fixture;

namespace {

struct OwnerFixture : NodeFixture {
  const core::IdempotencyKey Key = keyAt(Millis);

  OwnerFixture() : NodeFixture(shopFleet(), {endpoint("n1"), endpoint("n2")}) {}

  void book(std::uint64_t Id, std::uint64_t Digest = 7) {
    CallArrived Arrival;
    Arrival.Id = core::CallId(Id);
    Arrival.Path = "/book";
    Arrival.Key = Key;
    Arrival.RequestDigest = core::Digest(Digest);
    handle(Arrival);
  }
  ClaimOwner self(std::uint64_t Call) const {
    return {core::NodeId("n0"), core::Incarnation(1), core::CallId(Call)};
  }
  void decide(std::uint64_t Id, const ClaimOwner &Owner) {
    handle(ClaimDecided{core::CallId(Id), Owner, {}});
  }
  void queryResult(std::uint64_t Id, const ClaimOwner &Owner) {
    handle(KeptResultRequested{core::CallId(Id), Owner, Key, core::Digest(7),
                               instant(Millis + 5000).Wall});
  }
  void answer(std::uint64_t Id) {
    AttemptEnded Ended;
    Ended.Id = core::CallId(Id);
    Ended.Attempt = Now->Calls.at(Ended.Id).CurrentAttempt;
    Ended.End = AttemptEnd::Answered;
    Ended.Status = 200;
    Ended.FullAnswer =
        std::make_shared<const KeptAnswer>(KeptAnswer{200, "booked"});
    handle(Ended);
  }
};

} // namespace

// Guards against a second execution when the caller repeats a request (I7).
Test(kept_results, a_repeat_waits_and_gets_the_first_answer) {
  OwnerFixture Node;
  Node.book(1);
  cr_assert(Node.first<RequestClaim>()->Owner == Node.self(1),
            "wrong claim identity");
  Node.decide(1, Node.self(1));
  cr_assert(Node.first<StartAttempt>()->KeepAnswer, "the answer is not kept");
  Node.book(2);
  cr_assert(Node.Last.empty(), "the repeat does not wait for the result");
  Node.answer(1);
  cr_assert(Node.first<SendKeptAnswer>()->Id == core::CallId(2),
            "the waiting repeat got no answer");
  Node.book(3);
  cr_assert(Node.first<SendKeptAnswer>()->Answer->Bytes == "booked",
            "a later repeat got the wrong answer");
  Node.book(4, 8);
  cr_assert(Node.first<Refuse>()->Reason.Code ==
                core::ErrorCode::ClaimKeyReused,
            "another request got the answer");
}

// Guards against a key that cannot be used again after its request was refused.
Test(kept_results, a_request_that_did_not_run_may_run_again) {
  OwnerFixture Node;
  Node.book(1);
  Node.handle(ClaimDecided{
      core::CallId(1), {}, core::Error{core::ErrorCode::ClaimUndecided, ""}});
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun,
            "not reported as not run");
  Node.queryResult(50, Node.self(1));
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun,
            "wrong outcome for another node");
  Node.book(2);
  cr_assert(Node.first<RequestClaim>()->Owner == Node.self(1),
            "claimed under a new identity, which would not own the key");
  Node.decide(2, Node.self(1));
  cr_assert(Node.first<StartAttempt>(), "the repeated request did not run");
}

// Guards against a second execution by a node that lost its results in a
// restart or by eviction.
Test(kept_results, an_owner_that_forgot_its_claim_answers_unknown) {
  OwnerFixture Node;
  Node.book(1);
  ClaimOwner Previous = Node.self(1);
  Previous.Incarnation = core::Incarnation(0);
  Node.decide(1, Previous);
  cr_assert(!Node.first<StartAttempt>(),
            "ran under the claim of an earlier process");
  cr_assert(Node.first<AnswerFromOwner>()->Owner == Previous,
            "the owner was not asked");
  Node.handle(OwnerReplied{core::CallId(1), KeptResultState::Unknown});
  cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown,
            "wrong outcome when the owner is lost");
  Node.queryResult(50, Node.self(77));
  cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown,
            "wrong outcome for an evicted key");
}

// Guards against returning the answer of a different claim of the same key.
Test(kept_results, a_question_about_another_claim_is_unknown) {
  OwnerFixture Node;
  Node.book(1);
  Node.decide(1, Node.self(1));
  Node.answer(1);
  Node.queryResult(50, Node.self(77));
  cr_assert(Node.first<Refuse>()->Result == Outcome::Unknown,
            "the answer of another claim was returned");
  Node.queryResult(51, Node.self(1));
  cr_assert(Node.first<SendKeptAnswer>(), "the kept answer was not returned");
}

// Guards against sending a request after its deadline when the node was paused.
Test(kept_results, a_paused_owner_refuses_what_it_did_not_send) {
  OwnerFixture Node;
  Node.book(1);
  Node.Millis += 3600;
  Node.decide(1, Node.self(1));
  cr_assert(!Node.first<StartAttempt>(), "sent after the deadline");
  cr_assert(Node.first<Refuse>()->Result == Outcome::NotRun,
            "not reported as not run");
}

// Guards against losing a result because its first caller disconnected.
Test(kept_results, a_claimed_request_outlives_its_caller) {
  OwnerFixture Node;
  Node.book(1);
  Node.book(2);
  Node.handle(CallerDisconnected{core::CallId(1)});
  cr_assert(Node.first<RequestClaim>()->Id == core::CallId(2),
            "the claim was not handed over to the repeat");
  Node.decide(2, Node.self(1));
  Node.handle(CallerDisconnected{core::CallId(2)});
  cr_assert(!Node.first<CancelAttempt>(), "the request was cancelled");
  Node.queryResult(50, Node.self(1));
  Node.answer(2);
  cr_assert(Node.first<SendKeptAnswer>()->Id == core::CallId(50),
            "the result was lost");
}

// Guards against unbounded memory, and against wrong answers for evicted keys.
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
  cr_assert(!Results.find(keyAt(1)) && Results.bytes() == 60,
            "the byte limit is not enforced");
  cr_assert(Results.takeLimitReached(), "the eviction was not reported");
  Settle(3, 10);
  Settle(4, 10);
  cr_assert(Results.size() == 2, "the limit of entries is not enforced");
  KeptResults Large;
  Large.insert(keyAt(1), {}, {});
  Large.recordResult(keyAt(1), ResultState::Answered,
                     std::make_shared<const KeptAnswer>(KeptAnswer{
                         200, std::string(MaxKeptAnswerBytes + 1, 'x')}));
  cr_assert(!Large.find(keyAt(1))->Answer,
            "an answer above the size limit was kept");
}

// Guards against retrying a request whose caller disconnected.
Test(kept_results, a_refused_request_without_caller_is_not_sent_again) {
  OwnerFixture Node;
  Node.book(1);
  Node.decide(1, Node.self(1));
  Node.handle(CallerDisconnected{core::CallId(1)});
  Node.end(1, AttemptEnd::NotRun);
  cr_assert(Node.Last.empty(), "retried, or refused without a caller");
  Node.book(2);
  cr_assert(Node.first<RequestClaim>(), "a repeat cannot claim the key");
}
