#include "filbertvane/decision/request/WarmUp.h"
#include <algorithm>

namespace filbertvane::decision::request {

double warmUpShare(core::TimePoint Since, core::TimePoint Now) {
  const auto Age = static_cast<double>((Now - Since).count());
  const auto Full = static_cast<double>(core::Microseconds(WarmUpTime).count());
  return std::clamp(Age / Full, InitialShare, 1.0);
}

} // namespace filbertvane::decision::request
