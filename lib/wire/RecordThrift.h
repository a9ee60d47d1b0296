#ifndef FILBERTVANE_LIB_WIRE_RECORDTHRIFT_H
#define FILBERTVANE_LIB_WIRE_RECORDTHRIFT_H

#include "SheetThrift.h"

namespace filbertvane::wire {

/// @name Log record values to and from their Thrift types
/// @{
gen::MoveId toThrift(const config::MoveId &From);
gen::Verdict toThrift(const config::MoveDecision &From);
gen::InForceReported toThrift(const config::InForceReported &From);
gen::LogRecord toThrift(const config::LogRecord &From);
config::MoveId fromThrift(const gen::MoveId &From);
config::MoveDecision fromThrift(const gen::Verdict &From);
config::InForceReported fromThrift(const gen::InForceReported &From,
                                   RangeCheck &Check);
config::LogRecord fromThrift(const gen::LogRecord &From, RangeCheck &Check);
/// @}

} // namespace filbertvane::wire

#endif // FILBERTVANE_LIB_WIRE_RECORDTHRIFT_H
