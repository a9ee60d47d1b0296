#ifndef FILBERTVANE_LIB_IO_PROXY_HELDBYTES_H
#define FILBERTVANE_LIB_IO_PROXY_HELDBYTES_H

#include <algorithm>
#include <cstddef>

namespace filbertvane::io::proxy {

/// @brief Memory that the answers of all calls of an engine take.
///
/// A node has as many calls as its callers send, and answers without end fill
/// whatever each of them may hold. Above `ScarceAbove`, each call holds less.
class HeldBytes {
public:
  /// A quarter of the memory of a small host (260 MB).
  static constexpr std::size_t ScarceAbove = std::size_t{64} * 1024 * 1024;
  /// Largest answer that is held for `DeliverAnswer`; larger ones are passed on
  /// as they arrive. A larger refusal counts as no answer.
  static constexpr std::size_t MaxHeld = std::size_t{1024} * 1024;
  static constexpr std::size_t MaxHeldWhenScarce = std::size_t{64} * 1024;
  /// Bytes queued to a caller above which the source of the body is held back.
  static constexpr std::size_t MaxQueued = std::size_t{256} * 1024;
  static constexpr std::size_t MaxQueuedWhenScarce = std::size_t{32} * 1024;

  /// @brief The share of one call, given back at its end.
  class Share {
  public:
    explicit Share(HeldBytes &All) : All(All) {}
    ~Share() { All.Total -= Bytes; }
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// @brief Counts bytes that the call holds, or has queued to its caller.
    void raiseTo(std::size_t Size) {
      const std::size_t Raised = std::max(Bytes, Size);
      All.Total += Raised - Bytes;
      Bytes = Raised;
    }
    std::size_t maxHeld() const {
      return All.isScarce() ? MaxHeldWhenScarce : MaxHeld;
    }
    std::size_t maxQueued() const {
      return All.isScarce() ? MaxQueuedWhenScarce : MaxQueued;
    }

  private:
    HeldBytes &All;
    std::size_t Bytes = 0;
  };

  std::size_t total() const { return Total; }

private:
  bool isScarce() const { return Total > ScarceAbove; }

  std::size_t Total = 0;
};

} // namespace filbertvane::io::proxy

#endif // FILBERTVANE_LIB_IO_PROXY_HELDBYTES_H
