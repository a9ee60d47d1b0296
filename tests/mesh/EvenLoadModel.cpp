#include "EvenLoadModel.h"

namespace meshbench {

namespace {

/// Hosts that are asked before a request is refused.
constexpr std::size_t MaximumTries = 4;
/// Run times differ by this factor of the mean around it.
constexpr double Spread = 0.5;
constexpr double SlowFactor = 2.5;
constexpr double SlowMs = 600;
constexpr double NearReportMs = 500;
/// Arrivals in the first second fill the empty fleet and are not counted.
constexpr double WarmUpMs = 1000;

} // namespace

EvenLoadResult EvenLoadModel::run() {
  const auto LengthMs = static_cast<double>(Load.Length.count());
  const auto Seconds = static_cast<std::size_t>(LengthMs / 1000) + 1;
  BegunIn.assign(Seconds, 0);
  ServedIn.assign(Seconds, 0);
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    after(NearReportMs * Source.unit(), [this, I] { report(I, false); });
    after(static_cast<double>(Load.RemoteReports.count()) * Source.unit(),
          [this, I] { report(I, true); });
  }
  after(0, [this] { arrive(); });
  while (!Queue.empty()) {
    const Scheduled Next = Queue.top();
    Queue.pop();
    Now = Next.At;
    Next.Run();
  }
  // The last second lacks the answers that came after the end.
  for (std::size_t I = 1; I + 1 < Seconds; ++I)
    if (BegunIn[I] > 0)
      Result.WorstSecond =
          std::min(Result.WorstSecond, static_cast<double>(ServedIn[I]) /
                                           static_cast<double>(BegunIn[I]));
  return Result;
}

void EvenLoadModel::arrive() {
  if (Now >= static_cast<double>(Load.Length.count()))
    return;
  Call Placed;
  Placed.Entry = Source.below(Targets.size());
  Placed.Began = Now;
  if (Now >= WarmUpMs) {
    ++Result.Requests;
    ++BegunIn[static_cast<std::size_t>(Now / 1000)];
  }
  place(std::move(Placed));
  after(exponential(1 / PerMs), [this] { arrive(); });
}

void EvenLoadModel::report(std::size_t Node, bool ToRemote) {
  if (Now >= static_cast<double>(Load.Length.count()))
    return;
  const std::uint32_t Known = loadOf(Node);
  const double MeanMs = Targets[Node].MeanMs;
  for (std::size_t I = 0; I < Targets.size(); ++I)
    if (I != Node && (dataCentre(I) != dataCentre(Node)) == ToRemote)
      after(delay(Node, I),
            [this, I, Node, Known, MeanMs] { learn(I, Node, Known, MeanMs); });
  after(ToRemote ? static_cast<double>(Load.RemoteReports.count())
                 : NearReportMs,
        [this, Node, ToRemote] { report(Node, ToRemote); });
}

void EvenLoadModel::place(Call Placed) {
  std::vector<Candidate> Candidates;
  std::vector<std::size_t> Nodes;
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    if (std::ranges::find(Placed.Tried, I) != Placed.Tried.end())
      continue;
    const Knowledge &K = Targets[Placed.Entry].Known[I];
    const bool Local = I == Placed.Entry;
    Candidate Found;
    Found.HostDistance = distance(Placed.Entry, I);
    Found.Load = Local ? loadOf(I) : std::max(K.Load + K.Sent, K.InFlight);
    Found.Slots = Load.Slots;
    const double MeanMs =
        Local ? Targets[I].MeanMs : (K.MeanMs > 0 ? K.MeanMs : Load.MeanMs);
    Found.MeanTime = milliseconds(static_cast<std::int64_t>(MeanMs));
    Candidates.push_back(std::move(Found));
    Nodes.push_back(I);
  }
  const PlacementQuery Query{Load.Objective, 2000};
  const auto Best = Placed.Tried.size() < MaximumTries
                        ? Choose(Candidates, Query, ChoiceSource)
                        : std::nullopt;
  if (!Best)
    return conclude(Placed, std::nullopt);
  const std::size_t Host = Nodes[*Best];
  if (Host != Placed.Entry) {
    ++Targets[Placed.Entry].Known[Host].Sent;
    ++Targets[Placed.Entry].Known[Host].InFlight;
  }
  const double Delay = delay(Placed.Entry, Host);
  after(Delay, [this, Host, Placed = std::move(Placed)]() mutable {
    reachHost(Host, std::move(Placed));
  });
}

void EvenLoadModel::reachHost(std::size_t Host, Call Placed) {
  Target &T = Targets[Host];
  if (T.Running < Load.Slots)
    return start(Host, std::move(Placed));
  if (hasFreeSlotNear(Host))
    Placed.Uneven = true;
  const double Wait =
      T.MeanMs / Load.Slots * static_cast<double>(T.Waiting.size() + 1);
  const double Left = Placed.Began +
                      static_cast<double>(Load.Objective.count()) - Now -
                      2 * delay(Placed.Entry, Host);
  if (Wait + 1.5 * T.MeanMs <= Left) {
    T.Waiting.push_back(std::move(Placed));
    return;
  }
  if (Placed.Began >= WarmUpMs)
    ++Result.HostRefusals;
  Placed.Tried.push_back(Host);
  const std::uint32_t Known = loadOf(Host);
  const double Delay = delay(Host, Placed.Entry);
  after(Delay, [this, Host, Known, Placed = std::move(Placed)]() mutable {
    if (Host != Placed.Entry) {
      learn(Placed.Entry, Host, Known, Targets[Host].MeanMs);
      --Targets[Placed.Entry].Known[Host].InFlight;
    }
    place(std::move(Placed));
  });
}

void EvenLoadModel::start(std::size_t Host, Call Placed) {
  Target &T = Targets[Host];
  ++T.Running;
  double RunMs =
      Load.MeanMs * T.TimeFactor * (1 - Spread + 2 * Spread * Source.unit());
  // A slow turn of 600 ms begins so often that it fills its share of the time.
  if (Load.NoiseShare > 0) {
    const auto Turn = static_cast<std::uint64_t>(Now / SlowMs);
    core::Random Noise(Turn * 7919 + Host * 104729 + Load.Seed);
    if (Noise.unit() < Load.NoiseShare)
      RunMs *= SlowFactor;
  }
  after(RunMs, [this, Host, RunMs, Placed = std::move(Placed)] {
    Target &Ended = Targets[Host];
    --Ended.Running;
    Ended.MeanMs += 0.05 * (RunMs - Ended.MeanMs);
    if (!Ended.Waiting.empty()) {
      Call Next = std::move(Ended.Waiting.front());
      Ended.Waiting.pop_front();
      start(Host, std::move(Next));
    }
    answer(Host, Placed);
  });
}

void EvenLoadModel::answer(std::size_t Host, const Call &Placed) {
  const std::uint32_t Known = loadOf(Host);
  after(delay(Host, Placed.Entry), [this, Host, Known, Placed] {
    if (Host != Placed.Entry) {
      learn(Placed.Entry, Host, Known, Targets[Host].MeanMs);
      --Targets[Placed.Entry].Known[Host].InFlight;
    }
    conclude(Placed, distance(Placed.Entry, Host));
  });
}

void EvenLoadModel::conclude(const Call &Placed, std::optional<Distance> From) {
  if (Placed.Began < WarmUpMs)
    return;
  Result.Uneven += Placed.Uneven ? 1 : 0;
  Result.Near += From == Distance::SameRegion ? 1 : 0;
  Result.Remote += From == Distance::OtherRegion ? 1 : 0;
  if (!From) {
    ++Result.Refused;
    return;
  }
  if (Now - Placed.Began > static_cast<double>(Load.Objective.count())) {
    ++Result.Late;
    return;
  }
  ++Result.InTime;
  ++ServedIn[static_cast<std::size_t>(Placed.Began / 1000)];
}

} // namespace meshbench
