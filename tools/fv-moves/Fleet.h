#ifndef FILBERTVANE_TOOLS_FV_MOVES_FLEET_H
#define FILBERTVANE_TOOLS_FV_MOVES_FLEET_H

#include "Policy.h"
#include "filbertvane/decision/rollout/Controller.h"
#include <functional>
#include <map>

namespace filbertvane::moves {

namespace request = decision::request;
namespace rollout = decision::rollout;

/// The sequential test: the real guards of all nodes and the real controller,
/// joined by messages with delays. Data centres 0 and 1 are in the region of
/// the log; two data centres make a region.
class Fleet : public Policy {
public:
  /// @param IsLocal whether nodes and leads withdraw a version themselves
  Fleet(const Scenario &Move, bool IsLocal);

  config::Permille share(int Node) const override;
  void answered(int Node, const request::ObservedAnswer &Answer) override;
  void advance(core::Milliseconds Until) override;
  std::optional<FinalWord> finalWord() const override;
  std::optional<core::Milliseconds> decidedAt() const override {
    return Decided;
  }

private:
  core::Instant instant() const;
  void send(int From, int To, std::function<void()> Deliver);
  void feedGuard(int Node, const rollout::MonitorEvent &Event);
  void handle(int Node, const rollout::MonitorEffect &Effect);
  void feedController(const rollout::ControllerEvent &Event);
  void append(const config::RecordBody &Body);
  void distribute();
  void startCoordinator(int DataCentre);
  void superviseLease();
  void tick();
  void noteDecision();

  const Scenario &Move;
  bool IsLocal;
  core::Milliseconds Now{0};
  /// Messages under way by time of arrival; equal times in order of sending.
  std::multimap<core::Milliseconds, std::function<void()>> Queue;

  /// Durable log and the state folded from all of it.
  config::FleetState Log;
  std::vector<rollout::MonitorState> Guards;
  std::vector<std::shared_ptr<const config::FleetState>> Views;
  std::vector<bool> IsWithdrawn;

  rollout::ControllerState Control;
  int CoordinatorAt = 0;
  bool IsCoordinatorUp = true;
  std::optional<core::Milliseconds> TakeoverAt;
  std::optional<core::Milliseconds> Decided;
  bool WasLogDown = false;
};

} // namespace filbertvane::moves

#endif // FILBERTVANE_TOOLS_FV_MOVES_FLEET_H
