#include "MeshBench.h"

using namespace meshbench;
using request::AttemptEnd;
using request::StartAttempt;

namespace {

constexpr double ColdPerSecond = 10;
constexpr std::uint32_t Slots = 13;

config::Routing coldRouting() {
  config::Routing Routing = shopRouting();
  Routing.Services = {{core::ServiceName("shop"), ColdPerSecond}};
  return Routing;
}

/// A host node whose target answers at once.
class ColdBench : public Bench {
public:
  void announceCold(std::uint64_t Sequence, milliseconds Left) {
    send(TargetAnnounced{core::TargetId("own"), core::ServiceName("shop"),
                         core::TargetVersion("v1"), Slots, false, Left, 1000,
                         Sequence});
  }
  /// @return requests that the target got while 100 a second arrived
  std::size_t sendFor(milliseconds Span) {
    std::size_t Reached = 0;
    for (milliseconds Past{0}; Past < Span; Past += milliseconds(10)) {
      Now += milliseconds(10);
      arriveFromPeer(++LastCall);
      Reached += endStarted();
      send(request::Tick{});
      Reached += endStarted();
    }
    return Reached;
  }

private:
  std::size_t endStarted() {
    std::size_t Count = 0;
    while (const auto Started = first<StartAttempt>()) {
      ++Count;
      end(*Started, AttemptEnd::Held);
    }
    return Count;
  }

  std::uint64_t LastCall = 0;
};

} // namespace

// Guards against a cold target that crashes under its usual load, and against a
// limit that outlasts the warm-up.
Test(cold_target, gets_its_rate_until_it_is_warm) {
  ColdBench Node;
  Node.configure(coldRouting());
  Node.announceCold(1, milliseconds(3000));
  cr_assert(Node.State.Slots.load().Slots < Slots,
            "entry nodes are told that it has all its slots");
  for (int Second = 0; Second < 3; ++Second) {
    const std::size_t Reached = Node.sendFor(milliseconds(990));
    cr_assert(Reached <= ColdPerSecond + 1, "%zu", Reached);
    cr_assert(Reached >= ColdPerSecond - 3, "%zu", Reached);
  }
  Node.Now += milliseconds(100);
  Node.send(request::Tick{});
  cr_assert(Node.sendFor(milliseconds(1000)) == 100);
}

// Guards against a target that turns cold under a queue.
Test(cold_target, a_target_that_turns_cold_is_limited_at_once) {
  ColdBench Node;
  Node.configure(coldRouting());
  Node.announceCold(1, milliseconds(0));
  cr_assert(Node.sendFor(milliseconds(1000)) == 100);
  Node.announceCold(2, milliseconds(3000));
  cr_assert(Node.sendFor(milliseconds(1000)) <= ColdPerSecond + 1);
}

// Guards against a rush of requests to targets that turned cold while their
// data centre was evacuated.
Test(cold_target,
     counts_as_cold_after_an_evacuation_until_it_announces_itself) {
  ColdBench Node;
  Node.configure(coldRouting());
  Node.announceCold(1, milliseconds(0));
  const core::DataCentreId Own("dc1");
  Node.send(EvacuationOrdered{Own, true, position(5)});
  cr_assert(Node.sendFor(milliseconds(1000)) == 0);
  Node.send(EvacuationOrdered{Own, false, position(6)});
  cr_assert(Node.sendFor(milliseconds(1000)) <= ColdPerSecond + 1);
  Node.announceCold(2, milliseconds(0));
  cr_assert(Node.sendFor(milliseconds(1000)) == 100);
}

// Guards against a limit where the configuration names none.
Test(cold_target, a_service_without_a_rate_is_not_limited) {
  ColdBench Node;
  Node.configure();
  Node.announceCold(1, milliseconds(3000));
  cr_assert(Node.sendFor(milliseconds(1000)) == 100);
}
