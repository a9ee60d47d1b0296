#ifndef FILBERTVANE_TESTS_IO_RESIDENTMEMORY_H
#define FILBERTVANE_TESTS_IO_RESIDENTMEMORY_H

#include <cstddef>
#include <sys/resource.h>

namespace filbertvane::test {

/// Largest resident memory that this process has had, in bytes.
inline std::size_t peakResidentBytes() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return static_cast<std::size_t>(Usage.ru_maxrss) * 1024;
}

} // namespace filbertvane::test

#endif // FILBERTVANE_TESTS_IO_RESIDENTMEMORY_H
