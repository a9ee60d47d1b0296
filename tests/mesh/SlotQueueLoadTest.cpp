#include "filbertvane/core/Random.h"
#include "filbertvane/decision/mesh/SlotQueue.h"
#include <cmath>
#include <criterion/criterion.h>
#include <queue>
#include <unordered_map>

using namespace filbertvane;
using namespace filbertvane::decision::mesh;
using std::chrono::milliseconds;

namespace {

/// @brief A load on one target, as a heavy day brings it.
struct Load {
  /// Requests a second as a part of what the target can run.
  double Demand = 1.5;
  std::uint32_t Slots = 12;
  double MeanMs = 250;
  milliseconds Objective{1000};
  milliseconds TimeLeft{2500};
  core::Seconds Length{60};
};

/// @brief What callers got.
struct Outcome {
  int Asked = 0;
  int InTime = 0;
  int Late = 0;
  int RefusedAtOnce = 0;
  /// Refused after an eighth of the objective: the caller's time was wasted.
  int RefusedHeld = 0;

  double part(int Of) const {
    return static_cast<double>(Of) / std::max(1, Asked);
  }
};

/// @brief Plays a load on a queue: exponential arrivals, times of answers
///        spread around their mean as at the users' targets.
class Day {
public:
  explicit Day(const Load &Terms) : Terms(Terms), Source(7) {
    Queue.resize(Terms.Slots);
  }

  Outcome play() {
    const core::TimePoint End{Terms.Length};
    core::TimePoint NextArrival{milliseconds(1)};
    core::TimePoint NextTick{milliseconds(50)};
    while (NextArrival < End) {
      const core::TimePoint NextEnd =
          Running.empty() ? core::TimePoint::max() : Running.top().At;
      Now = std::min({NextArrival, NextEnd, NextTick});
      if (Now == NextEnd)
        finish();
      else if (Now == NextTick)
        NextTick += milliseconds(50);
      else
        NextArrival += arrive();
      serve();
    }
    return Result;
  }

private:
  struct Run {
    core::TimePoint At;
    core::CallId Id;
    core::TimePoint Started;
    bool operator<(const Run &Other) const { return At > Other.At; }
  };

  core::Microseconds spread(double MeanMs) {
    const double Ms = -std::log(1 - Source.unit()) * MeanMs;
    return core::Microseconds(static_cast<std::int64_t>(Ms * 1000) + 1);
  }

  core::Microseconds arrive() {
    SlotRequest Who;
    Who.Id = core::CallId(++Last);
    Who.Route = core::RouteName("list");
    Who.Objective = Now + Terms.Objective;
    Who.Deadline = Now + Terms.TimeLeft;
    Who.AcceptLate = true;
    ++Result.Asked;
    Since.emplace(Who.Id, Now);
    const SlotVerdict Verdict = Queue.submit(Who, Now);
    if (Verdict.Action == SlotVerdict::ActionKind::Start)
      start(Who.Id);
    if (Verdict.Action == SlotVerdict::ActionKind::Refuse)
      refuse(Who.Id);
    return spread(Terms.MeanMs / (Terms.Slots * Terms.Demand));
  }

  void serve() {
    while (const auto Turn = Queue.next(Now)) {
      if (Turn->Verdict.Action == SlotVerdict::ActionKind::Start)
        start(Turn->Id);
      else
        refuse(Turn->Id);
    }
  }

  void start(core::CallId Id) {
    // A fixed part and a spread one: half of the mean each.
    const core::Microseconds Fixed{
        static_cast<std::int64_t>(Terms.MeanMs * 500)};
    Running.push({Now + Fixed + spread(Terms.MeanMs / 2), Id, Now});
  }

  void finish() {
    const Run Ended = Running.top();
    Running.pop();
    const core::Microseconds Took = Ended.At - Since.at(Ended.Id);
    Queue.release(core::RouteName("list"), Ended.At - Ended.Started);
    if (Took <= Terms.Objective)
      ++Result.InTime;
    else if (Took <= Terms.TimeLeft)
      ++Result.Late;
  }

  void refuse(core::CallId Id) {
    const bool Held = Now - Since.at(Id) > Terms.Objective / 8;
    ++(Held ? Result.RefusedHeld : Result.RefusedAtOnce);
  }

  Load Terms;
  core::Random Source;
  SlotQueue Queue;
  std::priority_queue<Run> Running;
  std::unordered_map<core::CallId, core::TimePoint> Since;
  std::uint64_t Last = 0;
  core::TimePoint Now;
  Outcome Result;
};

} // namespace

// Guards against requests that wait for most of their time at a target which is
// asked for half as much again as it can run, and are refused then (scale days
// of aclu-lecturas-grown: 163 of 177 refusals at one node came after an eighth
// of the objective).
Test(mesh_slot_queue_load, an_overloaded_target_refuses_at_once) {
  const Outcome Got = Day(Load{}).play();
  cr_log_info("in time %.3f late %.3f at once %.3f held %.3f",
              Got.part(Got.InTime), Got.part(Got.Late),
              Got.part(Got.RefusedAtOnce), Got.part(Got.RefusedHeld));
  cr_assert(Got.part(Got.RefusedHeld) < 0.02, "%.3f are held and refused",
            Got.part(Got.RefusedHeld));
  // The target stays in use: it can run two thirds of what it is asked for.
  cr_assert(Got.part(Got.InTime) > 0.6, "%.3f in time", Got.part(Got.InTime));
}

// Guards against a queue that refuses what it could serve.
Test(mesh_slot_queue_load, a_target_with_room_refuses_hardly_any) {
  Load Light;
  Light.Demand = 0.9;
  const Outcome Got = Day(Light).play();
  cr_assert(Got.part(Got.InTime) > 0.97, "%.3f in time", Got.part(Got.InTime));
}
