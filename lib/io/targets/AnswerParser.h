#ifndef FILBERTVANE_LIB_IO_TARGETS_ANSWERPARSER_H
#define FILBERTVANE_LIB_IO_TARGETS_ANSWERPARSER_H

#include "../RequestParser.h"

namespace filbertvane::io::targets {

/// @brief Text with which each answer begins.
inline constexpr std::string_view VersionText = "HTTP/1.1 ";

/// @brief Parses the answers of one connection one after the other
///        (Boost.Beast).
class AnswerParser {
public:
  AnswerParser();
  ~AnswerParser();

  /// @brief Result of `parseHead`.
  struct HeadResult {
    /// Bytes that were used up.
    std::size_t Consumed = 0;
    /// Set when the head is complete; its status is below 200 for an interim
    /// answer, which has no body.
    std::optional<ResponseHead> Parsed;
    bool Malformed = false;
  };
  /// @brief Parses the head at the start of the input. Bytes that were not used
  ///        up have to be presented again together with further ones.
  HeadResult parseHead(std::string_view Input);

  /// @brief Removes the framing from the input; ends with the size of a chunk
  ///        and with the chunk, so that `bodyBytesLeft` tells what follows.
  BodyResult parseBody(std::string_view Input, char *Out, std::size_t Capacity);

  /// @brief The connection has ended.
  /// @return whether the answer is whole by that
  bool finishWithConnection();

  bool isComplete() const;
  bool isChunked() const;
  /// @brief Bytes that are still to come of a body of stated length, or of the
  ///        current chunk; no bound without either.
  std::size_t bodyBytesLeft() const;
  /// @brief The answer has neither a length nor chunks.
  bool endsWithConnection() const;
  /// @brief The connection can carry another request after this answer.
  bool keepsConnection() const;
  /// @brief Prepares for the head of the next answer.
  /// @param HasNoBody the request was a HEAD
  void startNext(bool HasNoBody);

private:
  struct State;
  std::unique_ptr<State> Current;
};

} // namespace filbertvane::io::targets

#endif // FILBERTVANE_LIB_IO_TARGETS_ANSWERPARSER_H
