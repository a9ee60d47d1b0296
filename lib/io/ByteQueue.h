#ifndef FILBERTVANE_LIB_IO_BYTEQUEUE_H
#define FILBERTVANE_LIB_IO_BYTEQUEUE_H

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <string>
#include <string_view>

namespace filbertvane::io {

/// @brief Bytes waiting to be sent; read from the front, appended at the back.
class ByteQueue {
public:
  std::size_t size() const { return Bytes.size() - Position; }
  bool empty() const { return size() == 0; }
  std::string_view front() const {
    return std::string_view(Bytes).substr(Position);
  }

  void append(std::string_view Part) {
    // The sent part is removed once it is the larger one, so that each byte is
    // moved at most once on average.
    if (Position > Bytes.size() / 2) {
      Bytes.erase(0, Position);
      Position = 0;
    }
    Bytes.append(Part);
  }

  /// @brief Copies at most `Room` bytes out and removes them.
  std::size_t take(char *Out, std::size_t Room) {
    const std::size_t Count = std::min(Room, size());
    std::memcpy(Out, Bytes.data() + Position, Count);
    remove(Count);
    return Count;
  }

  /// @brief Removes bytes from the front.
  void remove(std::size_t Count) {
    Position += Count;
    if (empty())
      clear();
  }

  void clear() {
    Bytes.clear();
    Position = 0;
  }

private:
  std::string Bytes;
  std::size_t Position = 0;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_LIB_IO_BYTEQUEUE_H
