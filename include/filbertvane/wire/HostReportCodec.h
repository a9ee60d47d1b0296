#ifndef FILBERTVANE_WIRE_HOSTREPORTCODEC_H
#define FILBERTVANE_WIRE_HOSTREPORTCODEC_H

#include "filbertvane/core/Result.h"
#include "filbertvane/decision/mesh/HostReport.h"
#include "filbertvane/io/mesh/OperatorRecords.h"

namespace filbertvane::wire {

/// Largest report; it has to fit a UDP datagram.
inline constexpr std::size_t MaxReportBytes = std::size_t{32} * 1024;
/// Largest set of operators' records.
inline constexpr std::size_t MaxRecordsBytes = std::size_t{8} * 1024 * 1024;

/// @name Reports of hosts (Thrift compact protocol)
/// @{
std::string encode(const decision::mesh::HostReport &Report);
/// @return the report, `WireMalformed` or `WireTooLarge`
core::Result<decision::mesh::HostReport>
decodeHostReport(std::string_view Bytes);
/// @}

/// @name Operators' records between nodes (Thrift compact protocol, zlib)
/// @{
std::string encode(const decision::mesh::RecordEntries &Entries);
/// @return the entries, `WireMalformed` or `WireTooLarge`
core::Result<decision::mesh::RecordEntries>
decodeRecordEntries(std::string_view Bytes);
/// @}

} // namespace filbertvane::wire

#endif // FILBERTVANE_WIRE_HOSTREPORTCODEC_H
