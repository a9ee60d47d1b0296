#ifndef FILBERTVANE_LIB_DECISION_EVIDENCEMESSAGES_H
#define FILBERTVANE_LIB_DECISION_EVIDENCEMESSAGES_H

#include "filbertvane/decision/rollout/NodeMonitor.h"
#include "filbertvane/wire/ControlMessage.h"

namespace filbertvane::decision {

/// @name Conversions between rollout values and their wire messages
/// @{
wire::Evidence toMessage(const rollout::Evidence &Report);
rollout::Evidence fromMessage(const wire::Evidence &Message);
wire::LocalRollback toMessage(const rollout::LocalRollback &Value);
rollout::LocalRollback fromMessage(const wire::LocalRollback &Message);
/// @}

} // namespace filbertvane::decision

#endif // FILBERTVANE_LIB_DECISION_EVIDENCEMESSAGES_H
