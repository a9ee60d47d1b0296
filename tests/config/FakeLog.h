#ifndef FILBERTVANE_TESTS_CONFIG_FAKELOG_H
#define FILBERTVANE_TESTS_CONFIG_FAKELOG_H

#include "filbertvane/config/Publication.h"
#include <deque>

namespace filbertvane::tests {

/// @brief Log in memory whose next requests fail as the test states.
class FakeLog {
public:
  enum class Fate { Works, LosesAcknowledgement, IsDown };

  std::deque<Fate> AppendFates;
  std::deque<Fate> ReadFates;
  std::vector<std::string> Records;
  std::uint64_t First = 0;
  int Pauses = 0;
  bool Rejects = false;

  core::Result<core::LogOffset> append(const std::string &Bytes) {
    if (Rejects)
      return core::Error{core::ErrorCode::LogRejected, "status 413"};
    const Fate Next = take(AppendFates);
    if (Next != Fate::IsDown)
      Records.push_back(Bytes);
    if (Next != Fate::Works)
      return core::Error{core::ErrorCode::LogUnavailable, "no answer"};
    return core::LogOffset(Records.size() - 1);
  }

  core::Result<io::LogRead> read(core::LogOffset From, core::Milliseconds) {
    if (take(ReadFates) != Fate::Works)
      return core::Error{core::ErrorCode::LogUnavailable, "no answer"};
    if (From.value() < First)
      return io::LogRead{
          core::LogOffset(First), core::LogOffset(First), {}, true};
    io::LogRead Out{From, From, {}, false};
    // Two records at a time, so that a reader has to go on.
    while (Out.Records.size() < 2 && Out.Next.value() < Records.size()) {
      Out.Records.push_back(Records[Out.Next.value()]);
      Out.Next = core::LogOffset(Out.Next.value() + 1);
    }
    return Out;
  }

  void pause() { ++Pauses; }

private:
  static Fate take(std::deque<Fate> &Fates) {
    if (Fates.empty())
      return Fate::Works;
    const Fate Next = Fates.front();
    Fates.pop_front();
    return Next;
  }
};

} // namespace filbertvane::tests

#endif // FILBERTVANE_TESTS_CONFIG_FAKELOG_H
