#include "Scenario.h"
#include <algorithm>
#include <array>

namespace filbertvane::moves {

namespace {

constexpr std::array<double, 7> BadRates{0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0};
constexpr std::array<double, 3> SlowRates{0.3, 0.6, 1.0};
constexpr std::array<Kind, 10> Kinds{
    Kind::Good,        Kind::ColdStart,        Kind::SlowLink,
    Kind::SharedFault, Kind::CrashingRequests, Kind::FailsAtOnce,
    Kind::FailsLater,  Kind::FailsUnderLoad,   Kind::FailsOnOneRoute,
    Kind::IsSlow};

/// Requests of a move; decides its length together with the rate.
constexpr double RequestsPerMove = 40000;

core::Milliseconds part(const Scenario &S, double Part) {
  const core::Milliseconds Whole = S.Length;
  return core::Milliseconds(
      static_cast<std::int64_t>(static_cast<double>(Whole.count()) * Part));
}

void drawFault(Scenario &S, core::Random &Draw) {
  S.BadRate = BadRates.at(Draw.below(BadRates.size()));
  S.FaultUntil = core::Milliseconds::max();
  if (S.What == Kind::FailsLater)
    S.FaultFrom = part(S, 0.1 + 0.8 * Draw.unit());
  if (S.What == Kind::FailsUnderLoad)
    S.LoadShare = static_cast<config::Permille>(100 + Draw.below(700));
  if (S.What == Kind::IsSlow)
    S.BadRate = SlowRates.at(Draw.below(SlowRates.size()));
  if (S.What != Kind::SharedFault)
    return;
  S.FaultFrom = part(S, 0.1 + 0.8 * Draw.unit());
  S.FaultUntil =
      S.FaultFrom + core::Seconds(5 + static_cast<int>(Draw.below(25)));
}

void drawTrouble(Scenario &S, core::Random &Draw, int Number) {
  // A different one in each round over the kinds; most moves have none.
  constexpr std::array<Trouble, 6> Rounds{
      Trouble::None, Trouble::CoordinatorKilled,
      Trouble::None, Trouble::DataCentreCutOff,
      Trouble::None, Trouble::LogDown};
  const auto Round = static_cast<std::size_t>(Number) / Kinds.size();
  S.With = Rounds.at(Round % Rounds.size());
  S.TroubleFrom = part(S, 0.9 * Draw.unit());
  S.TroubleUntil =
      S.TroubleFrom + core::Seconds(15 + static_cast<int>(Draw.below(15)));
  S.CutDataCentre = static_cast<int>(Draw.below(DataCentres));
}

} // namespace

bool Scenario::isCutOff(int DataCentre, core::Milliseconds Now) const {
  return With == Trouble::DataCentreCutOff && DataCentre == CutDataCentre &&
         Now >= TroubleFrom && Now < TroubleUntil;
}

bool Scenario::isLogDown(core::Milliseconds Now) const {
  return With == Trouble::LogDown && Now >= TroubleFrom && Now < TroubleUntil;
}

bool Scenario::isFaulty(core::Milliseconds Now, config::Permille Share) const {
  return isBad() && Now >= FaultFrom && Now < FaultUntil && Share >= LoadShare;
}

const char *nameOf(Kind What) {
  constexpr std::array<const char *, 10> Names{
      "good",          "cold start",    "slow link",   "shared fault",
      "crash request", "fails at once", "fails later", "under load",
      "one route",     "slow"};
  return Names.at(static_cast<std::size_t>(What));
}

Scenario scenarioOf(std::uint64_t Seed, int Number) {
  Scenario S;
  S.Seed = Seed * 100003 + static_cast<std::uint64_t>(Number);
  core::Random Draw(S.Seed);
  S.What = Kinds.at(static_cast<std::size_t>(Number) % Kinds.size());
  S.RequestsPerSecond = 20 + 180 * Draw.unit();
  S.Length = core::Seconds(static_cast<int>(
      std::clamp(RequestsPerMove / S.RequestsPerSecond, 300.0, 2400.0)));
  S.Background = 0.001 * Draw.unit();
  drawFault(S, Draw);
  drawTrouble(S, Draw, Number);
  return S;
}

} // namespace filbertvane::moves
