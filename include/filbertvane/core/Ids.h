#ifndef FILBERTVANE_CORE_IDS_H
#define FILBERTVANE_CORE_IDS_H

#include "filbertvane/core/StrongId.h"
#include <cstdint>

namespace filbertvane::core {

/// @name Locations and processes
/// @{
using NodeId = StrongId<struct NodeIdTag, std::string>;
using DataCentreId = StrongId<struct DataCentreIdTag, std::string>;
using RegionId = StrongId<struct RegionIdTag, std::string>;
/// Number that increases with each start of a node, also on a replaced host.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// @}

/// @name Configuration
/// @{
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
using RouteName = StrongId<struct RouteNameTag, std::string>;
/// A team whose requests share keys, a priority and a quota.
using TenantName = StrongId<struct TenantNameTag, std::string>;
/// Software version of a target, for example "1.4.0".
using TargetVersion = StrongId<struct TargetVersionTag, std::string>;
/// Number of accepted configuration changes; never decreases.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
/// @}

/// @name Log
/// @{
using LogOffset = StrongId<struct LogOffsetTag, std::uint64_t>;
/// Number of times that a store was restored from a copy. Offsets of different
/// eras name different records.
using StoreEra = StrongId<struct StoreEraTag, std::uint64_t>;
/// Number of a coordinator lease; increases with each claim.
using Epoch = StrongId<struct EpochTag, std::uint64_t>;
using WriterId = StrongId<struct WriterIdTag, std::string>;
/// @}

/// @name Requests
/// @{
using CallId = StrongId<struct CallIdTag, std::uint64_t>;
using AttemptId = StrongId<struct AttemptIdTag, std::uint64_t>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;
/// Id of an announced target process: node, port and start of announcement.
using TargetId = StrongId<struct TargetIdTag, std::string>;
/// @}

} // namespace filbertvane::core

#endif // FILBERTVANE_CORE_IDS_H
