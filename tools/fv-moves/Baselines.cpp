#include "Baselines.h"
#include <algorithm>

namespace filbertvane::moves {

namespace {
constexpr int Steps = 10;
constexpr core::Seconds LookPeriod{10};
constexpr core::Seconds LookBack{60};
constexpr std::size_t LeastAnswers = 20;
constexpr double Threshold = 0.05;
/// Time until a changed share has reached all nodes.
constexpr core::Milliseconds Distribution{50};
} // namespace

void Timetable::answered(int, const decision::request::ObservedAnswer &Answer) {
  if (HasThreshold && Answer.Version.value() == "2")
    Recent.emplace_back(Now, Answer.Fault);
}

bool Timetable::exceedsThreshold() {
  while (!Recent.empty() && Recent.front().first < Now - LookBack)
    Recent.pop_front();
  const auto Faults =
      std::count_if(Recent.begin(), Recent.end(),
                    [](const auto &Answer) { return Answer.second; });
  return Recent.size() >= LeastAnswers &&
         static_cast<double>(Faults) >
             Threshold * static_cast<double>(Recent.size());
}

void Timetable::advance(core::Milliseconds At) {
  Now = At;
  if (Final)
    return;
  if (Decided) {
    if (Now < *Decided + Distribution)
      return;
    Share = 0;
    Final = FinalWord{true, Now};
    return;
  }
  const core::Milliseconds Step = core::Milliseconds(Move.Length) / (Steps + 1);
  const auto Done = std::min<std::int64_t>(Now / Step + 1, Steps);
  Share = static_cast<config::Permille>(config::FullShare * Done / Steps);
  if (Now >= Step * Steps)
    Final = FinalWord{false, Now};
  if (!HasThreshold || Now < NextLook)
    return;
  NextLook = Now + LookPeriod;
  if (exceedsThreshold())
    Decided = Now;
}

} // namespace filbertvane::moves
