#ifndef FILBERTVANE_LIB_WIRE_SHEETTHRIFT_H
#define FILBERTVANE_LIB_WIRE_SHEETTHRIFT_H

#include "RangeCheck.h"
#include "filbertvane/config/LogRecord.h"
#include "filbertvane_types.h"

namespace filbertvane::wire {

/// @name Sheet values to and from their Thrift types
/// Conversions from Thrift note each number out of range in the check.
/// @{
gen::Sheet toThrift(const config::Sheet &From);
gen::SheetDelta toThrift(const config::SheetDelta &From);
gen::MoveOrder toThrift(const config::MoveOrder &From);
config::Sheet fromThrift(const gen::Sheet &From, RangeCheck &Check);
config::SheetDelta fromThrift(const gen::SheetDelta &From, RangeCheck &Check);
config::MoveOrder fromThrift(const gen::MoveOrder &From, RangeCheck &Check);
/// @}

} // namespace filbertvane::wire

#endif // FILBERTVANE_LIB_WIRE_SHEETTHRIFT_H
