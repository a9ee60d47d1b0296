#ifndef FILBERTVANE_LIB_IO_CONNECTIONREUSE_H
#define FILBERTVANE_LIB_IO_CONNECTIONREUSE_H

#include <cstddef>

namespace filbertvane::io {

/// @brief Decides which requests of a connection are read, and which answer
///        closes it.
///
/// Callers take requests behind a closing answer as not read and send them
/// again. So only the answer to the last request that was read may close the
/// connection, and none is read behind one whose answer does.
class ConnectionReuse {
public:
  /// Requests in progress on one connection; bounds the answers that wait for
  /// those before them.
  static constexpr std::size_t MaximumUnanswered = 16;

  /// @brief Whether another request may be read.
  bool acceptsRequest() const {
    const std::size_t NotStarted = Unanswered - (AnswerStarted ? 1 : 0);
    return !CloseStated && Unanswered < MaximumUnanswered &&
           !(ClosesAfterLast && NotStarted > 0);
  }
  void requestRead() { ++Unanswered; }
  /// @brief The connection ends with the answer to the last request read, or to
  ///        the next one if that answer has begun.
  void closeAfterLast() { ClosesAfterLast = true; }
  /// @brief The head of the oldest answer is about to be sent.
  /// @return whether it has to state that the connection closes
  bool startAnswer() {
    AnswerStarted = true;
    CloseStated = ClosesAfterLast && Unanswered == 1;
    return CloseStated;
  }
  void finishAnswer() {
    --Unanswered;
    AnswerStarted = false;
  }
  /// @brief The closing answer has been sent.
  bool isOver() const { return CloseStated && Unanswered == 0; }

private:
  std::size_t Unanswered = 0;
  bool AnswerStarted = false;
  bool ClosesAfterLast = false;
  bool CloseStated = false;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_LIB_IO_CONNECTIONREUSE_H
