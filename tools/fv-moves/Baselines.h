#ifndef FILBERTVANE_TOOLS_FV_MOVES_BASELINES_H
#define FILBERTVANE_TOOLS_FV_MOVES_BASELINES_H

#include "Policy.h"
#include <deque>

namespace filbertvane::moves {

/// Ten equal steps over the time of the move, blind to faults; with a threshold
/// it rolls back when the error rate of the last minute exceeds 5% of at least
/// 20 answers, looked at every 10 s.
class Timetable : public Policy {
public:
  Timetable(const Scenario &Move, bool HasThreshold)
      : Move(Move), HasThreshold(HasThreshold) {}

  config::Permille share(int) const override { return Share; }
  void answered(int Node,
                const decision::request::ObservedAnswer &Answer) override;
  void advance(core::Milliseconds Now) override;
  std::optional<FinalWord> finalWord() const override { return Final; }
  std::optional<core::Milliseconds> decidedAt() const override {
    return Decided;
  }

private:
  bool exceedsThreshold();

  const Scenario &Move;
  bool HasThreshold;
  config::Permille Share = 0;
  core::Milliseconds Now{0};
  core::Milliseconds NextLook{0};
  std::deque<std::pair<core::Milliseconds, bool>> Recent;
  std::optional<FinalWord> Final;
  std::optional<core::Milliseconds> Decided;
};

} // namespace filbertvane::moves

#endif // FILBERTVANE_TOOLS_FV_MOVES_BASELINES_H
