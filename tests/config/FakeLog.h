#ifndef FILBERTVANE_TESTS_CONFIG_FAKELOG_H
#define FILBERTVANE_TESTS_CONFIG_FAKELOG_H

#include "filbertvane/config/Publication.h"
#include <deque>

namespace filbertvane::tests {

/// @brief In-memory log that injects the configured failures into the next
///        requests.
class FakeLog {
public:
  enum class Behaviour { Succeed, LoseAcknowledgement, Fail };

  std::deque<Behaviour> AppendBehaviours;
  std::deque<Behaviour> ReadBehaviours;
  std::vector<std::string> Records;
  std::uint64_t First = 0;
  int Pauses = 0;
  bool Rejects = false;

  core::Result<core::LogOffset> append(const std::string &Bytes) {
    if (Rejects)
      return core::Error{core::ErrorCode::LogRejected, "status 413"};
    const Behaviour Next = take(AppendBehaviours);
    if (Next != Behaviour::Fail)
      Records.push_back(Bytes);
    if (Next != Behaviour::Succeed)
      return core::Error{core::ErrorCode::LogUnavailable, "no answer"};
    return core::LogOffset(Records.size() - 1);
  }

  core::Result<io::LogRead> read(core::LogOffset From, core::Milliseconds) {
    if (take(ReadBehaviours) != Behaviour::Succeed)
      return core::Error{core::ErrorCode::LogUnavailable, "no answer"};
    if (From.value() < First)
      return io::LogRead{
          core::LogOffset(First), core::LogOffset(First), {}, true};
    io::LogRead Out{From, From, {}, false};
    // Returns at most two records, so that a reader has to read repeatedly.
    while (Out.Records.size() < 2 && Out.Next.value() < Records.size()) {
      Out.Records.push_back(Records[Out.Next.value()]);
      Out.Next = core::LogOffset(Out.Next.value() + 1);
    }
    return Out;
  }

  void pause() { ++Pauses; }

private:
  static Behaviour take(std::deque<Behaviour> &Queue) {
    if (Queue.empty())
      return Behaviour::Succeed;
    const Behaviour Next = Queue.front();
    Queue.pop_front();
    return Next;
  }
};

} // namespace filbertvane::tests

#endif // FILBERTVANE_TESTS_CONFIG_FAKELOG_H
