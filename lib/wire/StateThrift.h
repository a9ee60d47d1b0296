#ifndef FILBERTVANE_LIB_WIRE_STATETHRIFT_H
#define FILBERTVANE_LIB_WIRE_STATETHRIFT_H

#include "RecordThrift.h"
#include "filbertvane/config/FleetState.h"

namespace filbertvane::wire {

/// @name Fleet state to and from its Thrift type
/// @{
gen::FleetState toThrift(const config::FleetState &From);
config::FleetState fromThrift(const gen::FleetState &From, RangeCheck &Check);
/// @}

} // namespace filbertvane::wire

#endif // FILBERTVANE_LIB_WIRE_STATETHRIFT_H
