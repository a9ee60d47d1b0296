#include "filbertvane/decision/membership/Membership.h"
#include "filbertvane/decision/membership/Ranking.h"
#include <algorithm>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <map>

using namespace filbertvane;
using namespace filbertvane::decision;
using namespace filbertvane::decision::membership;

namespace {

core::Instant at(std::int64_t Millis) {
  return {core::TimePoint(core::Milliseconds(Millis)), {}};
}

Member member(const std::string &Name, std::uint64_t Number = 1024) {
  Member M;
  M.Node = core::NodeId(Name);
  M.Incarnation = core::Incarnation(Number);
  M.ControlAddress = Name + ":c";
  M.Ready = true;
  return M;
}

struct Fixture {
  State S = initial(
      {core::NodeId("self"), core::DataCentreId("d"), "self:c", "self:p", {}},
      core::Incarnation(1024), 1);
  Effects Out;

  Fixture() { step(Started{}, 0); }
  void step(const Event &Input, std::int64_t Millis) {
    auto Next = reduce(std::move(S), Input, at(Millis));
    S = std::move(Next.NextState);
    Out = std::move(Next.EmittedEffects);
  }
  void receive(Message Payload, std::int64_t Millis, const char *From = "a") {
    step(MessageReceived{{core::NodeId(From), std::string(From) + ":c"},
                         std::move(Payload)},
         Millis);
  }
  template <typename E> std::size_t count() const {
    return std::count_if(Out.begin(), Out.end(), [](const Effect &Each) {
      return std::holds_alternative<E>(Each);
    });
  }
  const Member &known(const char *Name) {
    return S.OtherMembers.at(core::NodeId(Name)).LastKnown;
  }
};

} // namespace

// Guards against old updates that replace newer ones.
Test(membership, the_newest_incarnation_revision_and_status_wins) {
  Fixture B;
  Member A = member("a", 2048);
  A.Revision = 5;
  B.receive(Leave{A}, 1);
  Member Old = A;
  Old.Revision = 4;
  Old.Status = MemberStatus::Failed;
  B.receive(Leave{Old}, 2);
  Member Former = A;
  Former.Incarnation = core::Incarnation(1024);
  Former.Revision = 9;
  Former.Status = MemberStatus::Left;
  B.receive(Leave{Former}, 3);
  cr_assert(B.known("a") == A);
  Member Suspected = A;
  Suspected.Status = MemberStatus::Suspect;
  B.receive(Leave{Suspected}, 4);
  B.receive(Leave{A}, 5);
  cr_assert(B.known("a").Status == MemberStatus::Suspect);
}

// Guards against a live node that does not refute its own failure.
Test(membership, an_own_failure_is_refuted_by_a_higher_incarnation) {
  Fixture B;
  Member Self = B.S.Self;
  Self.Status = MemberStatus::Failed;
  B.receive(Probe{1, {}, {Self}}, 1);
  cr_assert(B.S.Self.Incarnation == core::Incarnation(1025));
  cr_assert(sameProcess(B.S.Self.Incarnation, Self.Incarnation));
  const auto *Ack = std::get_if<SendMessage>(&B.Out[2]);
  cr_assert(Ack &&
            std::get<ProbeAck>(Ack->Payload).Updates.front() == B.S.Self);
}

// Guards against a host whose clock went back and whose updates are therefore
// ignored.
Test(membership, a_replaced_host_takes_a_higher_incarnation) {
  Fixture B;
  Member Former = B.S.Self;
  Former.Incarnation = core::Incarnation(5000 << RefutationBits);
  B.receive(Probe{1, {}, {Former}}, 1);
  cr_assert(B.S.Self.Incarnation > Former.Incarnation);
  cr_assert(!sameProcess(B.S.Self.Incarnation, Former.Incarnation));
}

// Guards against requests that wait for a process that has ended.
Test(membership, a_new_process_or_node_at_an_address_ends_the_former) {
  Fixture B;
  B.receive(Leave{member("a", 1 << RefutationBits)}, 1);
  B.receive(Leave{member("a", 2 << RefutationBits)}, 2);
  cr_assert(B.count<MemberFailed>() == 1);
  Member Other = member("b", 3 << RefutationBits);
  Other.ControlAddress = "a:c";
  B.receive(Leave{Other}, 3);
  cr_assert(B.count<MemberFailed>() == 1);
  cr_assert(B.known("a").Status == MemberStatus::Failed);
}

// Guards against messages and member lists without a limit.
Test(membership, updates_and_members_are_bounded) {
  Fixture B;
  std::map<core::NodeId, std::size_t> Sent;
  for (int I = 0; I < 1500; ++I)
    B.receive(Leave{member(fmt::format("m{}", I))}, 1);
  cr_assert(B.S.OtherMembers.size() + 1 == MaxMembers);
  cr_assert(B.S.LimitReported);
  std::size_t Empty = 0;
  for (int I = 0; I < 8000 && Empty == 0; ++I) {
    B.receive(Probe{1, {}, {}}, 2);
    const auto &Ack =
        std::get<ProbeAck>(std::get<SendMessage>(B.Out.back()).Payload);
    cr_assert(Ack.Updates.size() <= MaxUpdatesPerMessage);
    Empty += Ack.Updates.empty();
    for (const Member &Updated : Ack.Updates)
      ++Sent[Updated.Node];
  }
  cr_assert(Empty == 1, "updates are sent without end");
  for (const auto &[Node, Times] : Sent)
    cr_assert(Times <= RetransmitMultiplier * 11, "%zu transmissions", Times);
}

// Guards against suspicion of live members after this process was paused.
Test(membership, a_pause_suspects_no_member) {
  Fixture B;
  B.receive(Leave{member("a")}, 1);
  for (std::int64_t Millis = 50; Millis <= 1000; Millis += 50)
    B.step(Tick{}, Millis);
  cr_assert(B.S.PendingProbe.has_value());
  B.step(Tick{}, 9000);
  cr_assert(B.known("a").Status == MemberStatus::Alive);
  cr_assert(!B.S.PendingProbe.has_value());
}

// Guards against new requests for a leaving target while gossip spreads the
// update, and against the loss of a single direct message.
Test(membership, a_leaving_target_is_announced_to_each_member_directly) {
  Fixture B;
  for (const char *Name : {"a", "b", "c"})
    B.receive(Leave{member(Name)}, 1);
  B.step(OwnTargetChanged{TargetAnnouncement{}}, 2);
  B.step(OwnTargetLeaving{}, 3);
  std::map<std::string, std::size_t> Announced;
  for (std::int64_t Millis = 3; Millis <= 2000; Millis += 50) {
    for (const Effect &Each : B.Out)
      if (const auto *Sent = std::get_if<SendMessage>(&Each))
        if (const auto *Update = std::get_if<Leave>(&Sent->Payload))
          Announced[Sent->To] += Update->Self.Target->Leaving;
    B.step(Tick{}, Millis);
  }
  cr_assert(Announced.size() == 3 && Announced["b:c"] == LeaveTransmissions);
}

// Guards against a failed member that counts as alive because another process
// answers at its address.
Test(membership, only_the_probed_node_proves_that_it_lives) {
  Fixture B;
  B.receive(Leave{member("a")}, 1);
  for (std::int64_t Millis = 50; !B.S.PendingProbe && Millis <= 2000;
       Millis += 50)
    B.step(Tick{}, Millis);
  cr_assert(B.S.PendingProbe.has_value());
  const std::uint64_t Sequence = B.S.PendingProbe->Sequence;
  B.receive(ProbeAck{Sequence, {}, {}}, 2000, "b");
  cr_assert(B.S.PendingProbe.has_value());
  B.receive(ProbeAck{Sequence, {}, {}}, 2001, "a");
  cr_assert(!B.S.PendingProbe.has_value());
}

// Guards against two halves of a partitioned data centre that never merge when
// no seed is left.
Test(membership, a_failed_member_is_asked_to_join_again) {
  Fixture B;
  B.receive(Leave{member("a")}, 1);
  Member Failed = member("a");
  Failed.Status = MemberStatus::Failed;
  B.receive(Leave{Failed}, 2);
  std::size_t Joins = 0;
  for (std::int64_t Millis = 50; Millis <= 3000; Millis += 50) {
    B.step(Tick{}, Millis);
    for (const Effect &Each : B.Out)
      if (const auto *Sent = std::get_if<SendMessage>(&Each))
        Joins += Sent->To == "a:c" &&
                 std::holds_alternative<JoinRequest>(Sent->Payload);
  }
  cr_assert(Joins > 0);
}

// Guards against a lead or claim keeper that changes although its node is still
// alive, and against a tree that does not reach each node.
Test(ranking, a_loss_moves_only_its_own_keys_and_the_tree_reaches_all) {
  std::vector<core::NodeId> Nodes;
  Nodes.reserve(100);
  for (int I = 0; I < 100; ++I)
    Nodes.emplace_back(fmt::format("n{}", I));
  std::vector<core::NodeId> Fewer(Nodes.begin() + 1, Nodes.end());
  std::size_t Moved = 0;
  for (std::uint32_t P = 0; P < 256; ++P) {
    const auto Before = rendezvousWinner(claimPartitionKey(P), Nodes);
    const auto After = rendezvousWinner(claimPartitionKey(P), Fewer);
    cr_assert(Before == After || *Before == Nodes[0]);
    cr_assert(Before == rendezvousOrder(claimPartitionKey(P), Nodes).front());
    Moved += Before != After;
  }
  cr_assert(Moved < 20, "%zu of 256 partitions at one of 100 nodes", Moved);
  std::vector<std::size_t> Fed(100, 0);
  for (std::size_t Rank = 0; Rank < 100; ++Rank)
    for (const std::size_t Child : childRanks(Rank, 100))
      ++Fed[Child];
  cr_assert(Fed[0] == 0);
  cr_assert(std::count(Fed.begin(), Fed.end(), 1U) == 99);
}
