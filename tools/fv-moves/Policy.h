#ifndef FILBERTVANE_TOOLS_FV_MOVES_POLICY_H
#define FILBERTVANE_TOOLS_FV_MOVES_POLICY_H

#include "Scenario.h"
#include "filbertvane/decision/request/Events.h"

namespace filbertvane::moves {

/// How a move ended.
struct FinalWord {
  bool RolledBack = false;
  core::Milliseconds At{0};
};

/// What decides on the shares of one move; the engine asks it for each request
/// and tells it each answer.
class Policy {
public:
  virtual ~Policy() = default;

  /// Share of the new version on a node.
  virtual config::Permille share(int Node) const = 0;
  virtual void answered(int Node,
                        const decision::request::ObservedAnswer &Answer) = 0;
  virtual void advance(core::Milliseconds Now) = 0;
  virtual std::optional<FinalWord> finalWord() const = 0;
  /// Time of the decision that led to the rollback.
  virtual std::optional<core::Milliseconds> decidedAt() const = 0;
};

} // namespace filbertvane::moves

#endif // FILBERTVANE_TOOLS_FV_MOVES_POLICY_H
