#ifndef FILBERTVANE_WIRE_RECORDCODEC_H
#define FILBERTVANE_WIRE_RECORDCODEC_H

#include "filbertvane/config/FleetState.h"
#include "filbertvane/wire/StreamRecords.h"
#include <string>
#include <string_view>

namespace filbertvane::wire {

/// Largest record that the platform log accepts.
inline constexpr std::size_t MaxRecordBytes = std::size_t{256} * 1024;
/// Largest encoded fleet state that is decoded (size of a control frame).
inline constexpr std::size_t MaxStateBytes = std::size_t{1024} * 1024;

/// @name Encoding (Thrift compact)
/// The encoding is canonical: equal values have equal bytes.
/// Complexity: linear in the size of the value.
/// @{
std::string encode(const config::LogRecord &Record);
std::string encode(const config::FleetState &State);
std::string encode(const config::Sheet &Content);
std::string encode(const LeaseRenewed &Renewal);
std::string encode(const ClaimBatch &Batch);
/// @}

/// @name Decoding
///
/// Accepts any bytes. Each function returns `WireTooLarge` for an input above
/// its limit, and `WireMalformed` for bytes that do not form exactly one value
/// with all numbers in range.
/// @{
core::Result<config::LogRecord> decodeRecord(std::string_view Bytes);
core::Result<config::FleetState> decodeState(std::string_view Bytes);
core::Result<LeaseRenewed> decodeRenewal(std::string_view Bytes);
core::Result<ClaimBatch> decodeClaims(std::string_view Bytes);

/// @brief State held by a snapshot record.
/// @return the state, or `WireDigestMismatch` when the digest or the position
///         differs from what the record states
core::Result<config::FleetState>
decodeSnapshot(const config::SnapshotTaken &Snapshot);
/// @}

} // namespace filbertvane::wire

#endif // FILBERTVANE_WIRE_RECORDCODEC_H
