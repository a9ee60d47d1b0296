#include "filbertvane/wire/ControlCodec.h"
#include "filbertvane/core/Random.h"
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace filbertvane;
using namespace filbertvane::wire;
namespace membership = decision::membership;
namespace distribution = decision::distribution;

namespace {

membership::Member sampleMember() {
  membership::Member M;
  M.Node = core::NodeId("n1");
  M.Incarnation = core::Incarnation(7);
  M.Status = membership::MemberStatus::Suspect;
  M.ControlAddress = "127.0.0.1:1";
  M.PeerAddress = "127.0.0.1:2";
  M.Target = {core::TargetId("t"),
              core::ServiceName("s"),
              core::TargetVersion("1.0"),
              18,
              core::WallTime(core::Milliseconds(5)),
              true};
  M.Revision = 3;
  M.Ready = true;
  return M;
}

std::vector<ControlMessage> samples() {
  const decision::Position At{core::LogOffset(9), core::Digest(~0ULL),
                              core::ConfigVersion(4), true};
  const config::MoveId Move{core::ServiceName("s"), core::ConfigVersion(2)};
  const config::MoveDecision Decided{core::RouteName("r"), "why", 1, 2, 3, 4};
  const Hello Greeting{core::NodeId("n"),   core::DataCentreId("d"),
                       core::RegionId("r"), core::Incarnation(1),
                       "127.0.0.1:1",       core::Digest(0xabc)};
  const ServiceSummary Service{
      core::ServiceName("s"), core::TargetVersion("1"), 1, 2, 3, {"a", "b"}};
  return {Greeting,
          membership::Probe{1, At, {sampleMember()}},
          membership::ProbeAck{2, At, {}},
          membership::IndirectProbe{3, core::NodeId("x")},
          membership::IndirectProbeAck{4, core::NodeId("x")},
          membership::JoinRequest{sampleMember()},
          membership::JoinReply{{sampleMember(), sampleMember()}, At},
          membership::Leave{sampleMember()},
          distribution::RecordBatch{
              core::LogOffset(8),
              {{core::LogOffset(8), std::string("\0bytes", 6)}},
              At,
              distribution::LogEndStatus::NotReached},
          distribution::RecordsRequest{core::LogOffset(5), true, true},
          distribution::Snapshot{At, "state"},
          Summaries{{{core::DataCentreId("d"),
                      core::RegionId("r"),
                      3,
                      {Service},
                      core::ConfigVersion(1),
                      core::LogOffset(2),
                      {"lead"},
                      core::NodeId("n")}}},
          Evidence{core::NodeId("n"),
                   core::Incarnation(1),
                   2,
                   {{Move,
                     {{core::RouteName("r"),
                       1,
                       2,
                       3,
                       4,
                       {1, 2},
                       {},
                       {core::Digest(8)},
                       {}}}}}},
          LocalRollback{Move, core::DataCentreId("d"), Decided,
                        core::WallTime(core::Milliseconds(6))},
          Suspect{core::Digest(5), 2},
          ClaimRequest{1, core::IdempotencyKey("k"), core::NodeId("n"),
                       core::Digest(2), core::WallTime(core::Milliseconds(3))},
          ClaimReply{1, core::NodeId("n"), core::ErrorCode::ClaimUndecided}};
}

} // namespace

// Guards against a field that is lost on the way to a peer.
Test(control_codec, every_message_survives_the_wire) {
  const std::vector<ControlMessage> All = samples();
  cr_assert(All.size() == MessageKinds, "a kind has no sample");
  for (std::size_t Kind = 0; Kind < All.size(); ++Kind) {
    cr_assert(All[Kind].index() == Kind, "order of samples");
    const auto Encoded = encode(All[Kind]);
    const auto Decoded = decode(core::value(Encoded));
    cr_assert(core::ok(Decoded), "kind %zu", Kind);
    cr_assert(core::value(Decoded) == All[Kind], "kind %zu", Kind);
  }
}

// Guards against a crash or a large allocation by bytes from the network.
Test(control_codec, random_and_damaged_bytes_are_refused_or_decoded) {
  const std::vector<ControlMessage> All = samples();
  std::size_t Refused = 0;
  const bool Held = rc::check([&] {
    std::string Bytes = *rc::gen::arbitrary<std::string>();
    if (*rc::gen::arbitrary<bool>()) {
      const std::size_t Kind = *rc::gen::inRange<std::size_t>(0, All.size());
      Bytes = core::value(encode(All[Kind]));
      const std::size_t At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
      Bytes[At] = *rc::gen::arbitrary<char>();
      Bytes.resize(*rc::gen::inRange<std::size_t>(0, Bytes.size() + 1));
    }
    const auto Decoded = decode(Bytes);
    if (!core::ok(Decoded)) {
      ++Refused;
      RC_ASSERT(core::failure(Decoded).Code == core::ErrorCode::WireMalformed);
    }
  });
  cr_assert(Held);
  cr_assert(Refused > 0, "damage was never noticed");
}

// Guards against a frame that a peer would refuse by its size.
Test(control_codec, a_message_above_the_frame_size_is_refused) {
  const distribution::Snapshot Big{{}, std::string(MaxFrameBytes, 'x')};
  const auto Encoded = encode(Big);
  cr_assert(!core::ok(Encoded));
  cr_assert(core::failure(Encoded).Code == core::ErrorCode::WireTooLarge);
  const auto Decoded = decode(std::string(MaxFrameBytes + 1, 'x'));
  cr_assert(core::failure(Decoded).Code == core::ErrorCode::WireTooLarge);
}
