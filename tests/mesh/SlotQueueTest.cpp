#include "MeshBench.h"
#include <algorithm>

using namespace meshbench;
using ActionKind = SlotVerdict::ActionKind;

namespace {

SlotRequest slotRequest(std::uint64_t Id, std::uint32_t Rank,
                        core::TimePoint Now, std::int64_t ObjectiveMs = 400,
                        std::int64_t LeftMs = 1000, bool AcceptLate = false) {
  return {core::CallId(Id),
          core::RouteName("list"),
          Rank,
          Now + milliseconds(ObjectiveMs),
          Now + milliseconds(LeftMs),
          AcceptLate};
}

/// Creates a queue whose answers take 100 ms.
SlotQueue warmQueue(std::uint32_t Slots = 2) {
  SlotQueue Queue;
  Queue.resize(Slots);
  Queue.submit(slotRequest(1000, 0, at(0)), at(0));
  Queue.release(core::RouteName("list"), milliseconds(100));
  return Queue;
}

/// Results of a simulation.
struct SimulationResult {
  std::size_t InTime[3] = {0, 0, 0};
  std::size_t Late = 0;
  std::size_t Refused = 0;
  /// Refused after more than an eighth of the objective.
  std::size_t RefusedLate = 0;
};

/// Simulates ten seconds of twice the load that two slots can serve; the ranks
/// 0, 1 and 2 have a third of the requests each.
SimulationResult simulateOverload(bool AcceptLate) {
  struct Running {
    core::TimePoint Ends;
    std::uint64_t Id;
  };
  SlotQueue Queue = warmQueue();
  std::vector<Running> Slots;
  std::map<std::uint64_t, core::TimePoint> Arrived;
  SimulationResult Result;
  const auto Start = [&](std::uint64_t Id, core::TimePoint Now) {
    Slots.push_back({Now + milliseconds(100), Id});
    const auto AnswerTime = Now + milliseconds(100) - Arrived[Id];
    if (AnswerTime <= milliseconds(400))
      ++Result.InTime[Id % 3];
    else
      ++Result.Late;
  };
  std::uint64_t Id = 0;
  for (int Ms = 0; Ms < 10000; ++Ms) {
    const core::TimePoint Now = at(Ms);
    std::erase_if(Slots, [&](const Running &Run) {
      if (Run.Ends > Now)
        return false;
      Queue.release(core::RouteName("list"), milliseconds(100));
      return true;
    });
    while (const auto Dequeued = Queue.next(Now)) {
      const std::uint64_t Next = Dequeued->Id.value();
      if (Dequeued->Verdict.Action == ActionKind::Start) {
        Start(Next, Now);
        continue;
      }
      ++Result.Refused;
      Result.RefusedLate += Now - Arrived[Next] > milliseconds(50) ? 1 : 0;
    }
    if (Ms % 25 != 0)
      continue;
    Arrived[++Id] = Now;
    const auto Verdict =
        Queue.submit(slotRequest(Id, static_cast<std::uint32_t>(Id % 3), Now,
                                 400, 1000, AcceptLate),
                     Now);
    if (Verdict.Action == ActionKind::Start)
      Start(Id, Now);
    else if (Verdict.Action == ActionKind::Refuse)
      ++Result.Refused;
  }
  return Result;
}

} // namespace

// Guards against more requests at a target than it has slots.
Test(slot_queue, slots_are_counted_exactly) {
  SlotQueue Queue = warmQueue();
  cr_assert(Queue.submit(slotRequest(1, 0, at(0)), at(0)).Action ==
            ActionKind::Start);
  cr_assert(Queue.submit(slotRequest(2, 0, at(0)), at(0)).Action ==
            ActionKind::Start);
  cr_assert(Queue.submit(slotRequest(3, 0, at(0)), at(0)).Action ==
            ActionKind::Wait);
  cr_assert(!Queue.next(at(0)).has_value());
  Queue.release(core::RouteName("list"), milliseconds(100));
  cr_assert(Queue.next(at(10))->Id == core::CallId(3));
}

// Guards against requests to a target that has announced no slots yet.
Test(slot_queue, without_slots_a_request_is_refused) {
  SlotQueue Queue;
  cr_assert(Queue.submit(slotRequest(1, 0, at(0)), at(0)).Action ==
            ActionKind::Refuse);
}

// Guards against a request that waits although it cannot meet its deadline.
Test(slot_queue, an_unservable_request_is_refused_when_that_is_known) {
  SlotQueue Queue = warmQueue();
  // On arrival: less than half of the mean time is left.
  cr_assert(Queue.submit(slotRequest(1, 0, at(0), 400, 40), at(0)).Action ==
            ActionKind::Refuse);
  // While it waits: the slots stay in use for longer than expected.
  Queue.submit(slotRequest(2, 0, at(0)), at(0));
  Queue.submit(slotRequest(3, 0, at(0)), at(0));
  cr_assert(Queue.submit(slotRequest(4, 0, at(0), 400, 400), at(0)).Action ==
            ActionKind::Wait);
  const auto Dequeued = Queue.next(at(360));
  cr_assert(Dequeued->Id == core::CallId(4));
  cr_assert(Dequeued->Verdict.Action == ActionKind::Refuse);
}

// Guards against urgent requests behind less urgent ones, and against late
// requests that take the slots of those that can be on time.
Test(slot_queue, requests_in_time_go_first_by_rank) {
  SlotQueue Queue = warmQueue(1);
  Queue.submit(slotRequest(1, 0, at(0)), at(0));
  Queue.submit(slotRequest(2, 2, at(1)), at(1));
  Queue.submit(slotRequest(3, 1, at(2)), at(2));
  Queue.submit(slotRequest(4, 0, at(3), 50, 1000, true), at(3));
  std::vector<std::uint64_t> Order;
  for (int Ms = 10; Ms < 40; Ms += 10) {
    Queue.release(core::RouteName("list"), milliseconds(100));
    Order.push_back(Queue.next(at(Ms))->Id.value());
  }
  cr_assert(Order == (std::vector<std::uint64_t>{3, 2, 4}));
}

// Guards against a queue full of requests that have missed their objective:
// under twice the load of two slots, accepted requests of each rank are
// answered on time, and the others are refused at once.
Test(slot_queue, overload_serves_in_time_what_it_accepts) {
  const SimulationResult Result = simulateOverload(false);
  const std::size_t InTime =
      Result.InTime[0] + Result.InTime[1] + Result.InTime[2];
  // Two slots of 100 ms serve 200 requests in ten seconds.
  cr_assert(InTime >= 190, "%zu in time", InTime);
  cr_assert(Result.Late <= 4, "%zu late", Result.Late);
  cr_assert(Result.InTime[0] >= 125, "rank 0: %zu of 134", Result.InTime[0]);
  cr_assert(Result.RefusedLate <= 4, "%zu refused late", Result.RefusedLate);
  // Accepting requests regardless of their objective serves fewer on time.
  const SimulationResult AllAccepted = simulateOverload(true);
  const std::size_t AllAcceptedInTime =
      AllAccepted.InTime[0] + AllAccepted.InTime[1] + AllAccepted.InTime[2];
  cr_assert(InTime >= AllAcceptedInTime, "%zu against %zu", InTime,
            AllAcceptedInTime);
}
