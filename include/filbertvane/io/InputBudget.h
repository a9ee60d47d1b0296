#ifndef FILBERTVANE_IO_INPUTBUDGET_H
#define FILBERTVANE_IO_INPUTBUDGET_H

#include "filbertvane/decision/connections/ClosingOrder.h"
#include <cstdint>
#include <string>
#include <unordered_set>

namespace filbertvane::io {

/// @brief Connections closed, or requests refused, since the start, by reason.
struct InputRefusals {
  /// The framing of a request was too long.
  std::uint64_t Framing = 0;
  /// All connections together held too many bytes.
  std::uint64_t Memory = 0;
  /// A new connection took the place of one without a whole request.
  std::uint64_t Room = 0;
  /// A new connection was closed, since all others had served a request.
  std::uint64_t Full = 0;

  friend auto operator<=>(const InputRefusals &,
                          const InputRefusals &) = default;
};

/// @brief Bytes that the connections of all servers of a process hold of
///        requests that are not answered yet.
class InputBudget {
public:
  /// @brief One connection, as the budget sees it.
  class Holder {
  public:
    virtual ~Holder() = default;
    virtual decision::connections::ConnectionUse use() const = 0;
    /// @brief Closes the connection.
    virtual void drop() = 0;
  };

  /// A quarter of the memory of a small host (260 MB).
  static constexpr std::size_t DefaultBytes = std::size_t{64} * 1024 * 1024;

  explicit InputBudget(std::size_t MaxBytes = DefaultBytes)
      : MaxBytes(MaxBytes) {}

  void add(Holder &Of) { Holders.insert(&Of); }
  void remove(Holder &Of) { Holders.erase(&Of); }
  /// @brief Changes the bytes of one holder.
  void change(std::size_t From, std::size_t To) { Total += To - From; }
  /// @brief Closes connections until the sum is inside the bound.
  void relieve();

  std::size_t total() const { return Total; }

  InputRefusals Refused;

private:
  std::size_t MaxBytes;
  std::size_t Total = 0;
  std::unordered_set<Holder *> Holders;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_IO_INPUTBUDGET_H
