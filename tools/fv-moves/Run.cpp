#include "Run.h"
#include "filbertvane/decision/rollout/RolloutPolicy.h"
#include <algorithm>
#include <array>
#include <cmath>
#include <queue>

namespace filbertvane::moves {

namespace {

namespace request = decision::request;
namespace rollout = decision::rollout;

constexpr core::Milliseconds StepTime{5};
/// Time after the deadline in which a rollback may still be read back.
constexpr core::Seconds Grace{30};
constexpr core::Seconds ColdTime{8};
constexpr core::Seconds CrashPeriod{30};

struct Route {
  core::RouteName Name;
  double Part;
};

struct Answered {
  core::Milliseconds At;
  int Node = 0;
  request::ObservedAnswer Answer;
  bool IsBad = false;
  bool operator>(const Answered &Other) const { return At > Other.At; }
};

/// Judges the answers of all nodes at once, as if messages took no time.
class Oracle {
public:
  bool add(const request::ObservedAnswer &Answer, config::Permille Share,
           core::Milliseconds Now) {
    setShare(Share);
    if (Share > 0 && !FirstShare)
      FirstShare = Now;
    count(Answer.Version.value() == "2", Answer, Now);
    const auto Found = Windows.evaluate();
    config::MoveStatus Status;
    Status.Share = Share;
    return rollout::shouldWithdraw(Status, Found);
  }
  void closePeriod() { Windows.closePeriod(); }
  void restart() { Windows = {}; }

private:
  void setShare(config::Permille Share) {
    if (Share != Stage)
      Windows.startStep();
    Stage = Share;
  }
  void count(bool IsNew, const request::ObservedAnswer &Answer,
             core::Milliseconds Now) {
    rollout::RouteCounts Added;
    auto &Side = IsNew ? Added.New : Added.Old;
    Side.Answers = 1;
    Side.Faults = Answer.Fault ? 1 : 0;
    const bool IsWarm =
        !IsNew || (FirstShare && Now >= *FirstShare + rollout::WarmUpDuration);
    if (!Answer.Fault && IsWarm)
      Side.Latency.Counts[rollout::LatencyHistogram::bucketOf(Answer.Latency)] =
          1;
    Windows.add(Added);
  }

  rollout::RouteWindows Windows;
  config::Permille Stage = 0;
  std::optional<core::Milliseconds> FirstShare;
};

class Engine {
public:
  Engine(const Scenario &Move, Policy &Decides)
      : Move(Move), Decides(Decides), Draw(Move.Seed + 1) {
    Result.Move = Move;
  }

  MoveResult run();

private:
  void arrivals();
  void crashes();
  void dispatch(int Node, const Route &On, std::uint64_t Digest);
  void answers();
  void observe(const Answered &Done);
  Answered answerOf(int Node, const Route &On, bool IsNew);
  bool isWeighted(int Node);
  bool isOver() const;
  config::Permille highestShare() const;

  const Scenario &Move;
  Policy &Decides;
  core::Random Draw;
  core::Milliseconds Now{0};
  MoveResult Result;
  std::array<int, Nodes> Credit{};
  std::array<config::Permille, Nodes> Last{};
  std::priority_queue<Answered, std::vector<Answered>, std::greater<>> Waiting;
  /// One for each route and one for the whole service.
  std::array<Oracle, 4> Oracles;
  std::array<Route, 3> Routes{{{core::RouteName("read"), 0.60},
                               {core::RouteName("list"), 0.38},
                               {core::RouteName("rare"), 0.02}}};
  config::Permille Share = 0;
  std::uint64_t NextDigest = 0;
};

bool Engine::isWeighted(int Node) {
  int &Sum = Credit.at(static_cast<std::size_t>(Node));
  Sum += Decides.share(Node);
  if (Sum < config::FullShare)
    return false;
  Sum -= config::FullShare;
  return true;
}

config::Permille Engine::highestShare() const {
  config::Permille Highest = 0;
  for (int Node = 0; Node < Nodes; ++Node)
    Highest = std::max(Highest, Decides.share(Node));
  return Highest;
}

Answered Engine::answerOf(int Node, const Route &On, bool IsNew) {
  Answered Done;
  Done.Node = Node;
  request::ObservedAnswer &Answer = Done.Answer;
  Answer.Service = core::ServiceName("booking");
  Answer.Route = On.Name;
  Answer.Version = core::TargetVersion(IsNew ? "2" : "1");
  double Millis = 8 - 5 * std::log(1 - Draw.unit());
  const bool HitsRoute =
      Move.What != Kind::FailsOnOneRoute || On.Name.value() == "list";
  const bool Faulty = IsNew && HitsRoute && Move.isFaulty(Now, Share);
  Done.IsBad = Faulty && Draw.unit() < Move.BadRate;
  if (Done.IsBad && Move.What == Kind::IsSlow)
    Millis += 200 + 600 * Draw.unit();
  else if (Done.IsBad)
    Answer.Fault = true;
  const bool IsShared = Move.What == Kind::SharedFault &&
                        Now >= Move.FaultFrom && Now < Move.FaultUntil;
  if (IsShared && Draw.unit() < Move.BadRate)
    Answer.Fault = true;
  if (Draw.unit() < Move.Background)
    Answer.Fault = true;
  if (IsNew && Move.What == Kind::ColdStart && Now < ColdTime)
    Millis *= 20;
  // The first targets of the new version stand in other data centres.
  if (IsNew && Move.What == Kind::SlowLink && Draw.unit() < 0.3) {
    Answer.Remote = true;
    Millis += 250;
  }
  Answer.Latency = core::Microseconds(static_cast<std::int64_t>(Millis * 1000));
  Done.At = Now + core::Milliseconds(static_cast<std::int64_t>(Millis));
  return Done;
}

void Engine::dispatch(int Node, const Route &On, std::uint64_t Digest) {
  const bool IsNew = isWeighted(Node);
  ++Result.Requests;
  if (IsNew) {
    auto &Sent = Move.isCutOff(Node / NodesPerDataCentre, Now)
                     ? Result.LastSentCutOff
                     : Result.LastSent;
    Sent = Now;
  }
  Answered Done = answerOf(Node, On, IsNew);
  if (Digest != 0) {
    Done.Answer.Fault = Done.Answer.TargetCrashed = true;
    Done.Answer.RequestDigest = core::Digest(Digest);
  }
  Waiting.push(std::move(Done));
}

void Engine::arrivals() {
  double Expected =
      Move.RequestsPerSecond * static_cast<double>(StepTime.count()) / 1000;
  // Poisson count by exponential gaps.
  while ((Expected += std::log(1 - Draw.unit())) > 0) {
    const double Which = Draw.unit();
    const std::size_t Index = Which < Routes[0].Part                    ? 0
                              : Which < Routes[0].Part + Routes[1].Part ? 1
                                                                        : 2;
    dispatch(static_cast<int>(Draw.below(Nodes)), Routes.at(Index), 0);
  }
}

void Engine::crashes() {
  if (Move.What != Kind::CrashingRequests ||
      Now % core::Milliseconds(CrashPeriod) != core::Milliseconds(0))
    return;
  ++NextDigest;
  // A caller sends the crashing request again, to other nodes too.
  for (int I = 0; I < 5; ++I)
    dispatch(static_cast<int>(Draw.below(Nodes)), Routes[0], NextDigest);
}

void Engine::observe(const Answered &Done) {
  const bool IsNew = Done.Answer.Version.value() == "2";
  if (Move.isBad()) {
    const bool AfterFault = Move.isFaulty(Now, Share);
    Result.BadVersionAnswers += IsNew && AfterFault ? 1 : 0;
    Result.FaultsInAll += Done.IsBad ? 1 : 0;
    const std::size_t Index = Done.Answer.Route.value() == "read"   ? 0
                              : Done.Answer.Route.value() == "list" ? 1
                                                                    : 2;
    const bool OnRoute = Oracles.at(Index).add(Done.Answer, Share, Now);
    const bool OnService = Oracles.back().add(Done.Answer, Share, Now);
    const bool Crossed = IsNew && (OnRoute || OnService);
    Result.FaultsToDecide += Done.IsBad && !Result.EvidentAt ? 1 : 0;
    if (Crossed && !Result.EvidentAt)
      Result.EvidentAt = Now;
  }
  Decides.answered(Done.Node, Done.Answer);
  if (!Result.EvidentAt && Decides.decidedAt())
    Result.EvidentAt = Decides.decidedAt();
}

void Engine::answers() {
  while (!Waiting.empty() && Waiting.top().At <= Now) {
    const Answered Done = Waiting.top();
    Waiting.pop();
    observe(Done);
  }
}

bool Engine::isOver() const {
  const core::Milliseconds Length = Move.Length;
  if (Now > Length + Grace)
    return true;
  return Decides.finalWord() && Now > Decides.finalWord()->At + Grace;
}

MoveResult Engine::run() {
  while (!isOver()) {
    Now += StepTime;
    Decides.advance(Now);
    const config::Permille Before = Share;
    Share = highestShare();
    // A suspicion that was dispelled is not the decision.
    if (Before == 0 && Share > 0 && Result.EvidentAt) {
      Result.EvidentAt.reset();
      for (Oracle &Each : Oracles)
        Each.restart();
    }
    if (!Decides.finalWord())
      Result.Final = Decides.finalWord();
    if (Now % rollout::EvidencePeriod == core::Milliseconds(0))
      for (Oracle &Each : Oracles)
        Each.closePeriod();
    if (!Decides.finalWord()) {
      arrivals();
      crashes();
    } else if (Share > 0 && Decides.finalWord()->RolledBack) {
      arrivals();
    }
    answers();
  }
  Result.Final = Decides.finalWord();
  return Result;
}

} // namespace

bool MoveResult::completedInTime() const {
  return Final && !Final->RolledBack &&
         Final->At <= core::Milliseconds(Move.Length);
}

double MoveResult::badShare() const {
  return Requests == 0 ? 0
                       : static_cast<double>(BadVersionAnswers) /
                             static_cast<double>(Requests);
}

core::Milliseconds MoveResult::msAfterEvident() const {
  if (!EvidentAt)
    return core::Milliseconds(0);
  return std::max(core::Milliseconds(0), LastSent - *EvidentAt);
}

core::Milliseconds MoveResult::msAfterEvidentCutOff() const {
  if (!EvidentAt)
    return core::Milliseconds(0);
  return std::max(core::Milliseconds(0), LastSentCutOff - *EvidentAt);
}

MoveResult run(const Scenario &Move, Policy &Decides) {
  return Engine(Move, Decides).run();
}

} // namespace filbertvane::moves
