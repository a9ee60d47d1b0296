#ifndef FILBERTVANE_LIB_WIRE_COMPACTBUFFER_H
#define FILBERTVANE_LIB_WIRE_COMPACTBUFFER_H

#include "filbertvane/core/Result.h"
#include <exception>
#include <fmt/format.h>
#include <memory>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace filbertvane::wire {

using CompactProtocol = apache::thrift::protocol::TCompactProtocolT<
    apache::thrift::transport::TMemoryBuffer>;

/// @brief Encodes a generated Thrift value.
template <typename T> std::string toCompact(const T &Value) {
  using apache::thrift::transport::TMemoryBuffer;
  auto Buffer = std::make_shared<TMemoryBuffer>();
  CompactProtocol Protocol(Buffer);
  Value.write(&Protocol);
  return Buffer->getBufferAsString();
}

/// @brief Decodes a generated Thrift value that takes all of the bytes.
/// @param MaxBytes limit of the input; it also bounds what Thrift allocates
template <typename T>
core::Result<T> fromCompact(std::string_view Bytes, std::size_t MaxBytes) {
  using apache::thrift::transport::TMemoryBuffer;
  if (Bytes.size() > MaxBytes)
    return core::Error{core::ErrorCode::WireTooLarge,
                       fmt::format("{} bytes", Bytes.size())};
  // Thrift reads through a mutable pointer but does not write in OBSERVE mode.
  std::string Input(Bytes);
  const auto Size = static_cast<std::uint32_t>(Input.size());
  auto Buffer = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<std::uint8_t *>(Input.data()), Size);
  // An element takes at least one byte, so that a larger count is a lie. The
  // limit 0 would mean none.
  const auto Limit = static_cast<std::int32_t>(Size) + 1;
  CompactProtocol Protocol(Buffer, Limit, Limit);
  T Value;
  try {
    Value.read(&Protocol);
  } catch (const std::exception &Failure) {
    return core::Error{core::ErrorCode::WireMalformed, Failure.what()};
  }
  if (Buffer->available_read() != 0)
    return core::Error{core::ErrorCode::WireMalformed, "bytes after the end"};
  return Value;
}

} // namespace filbertvane::wire

#endif // FILBERTVANE_LIB_WIRE_COMPACTBUFFER_H
