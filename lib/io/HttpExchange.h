#ifndef FILBERTVANE_LIB_IO_HTTPEXCHANGE_H
#define FILBERTVANE_LIB_IO_HTTPEXCHANGE_H

#include "ByteQueue.h"
#include "RequestParser.h"

namespace filbertvane::io {

/// @brief One request on a connection and its answer.
///
/// Calls of the handler only change the state and report it by `OnChange`; the
/// connection moves the bytes later, so that a handler is never ended during
/// one of its own calls.
class HttpExchange final : public ServerExchange {
public:
  HttpExchange(ParsedHead Parsed, std::function<void()> OnChange);

  /// @name ServerExchange
  /// @{
  const RequestHead &request() const override { return Parsed.Head; }
  void pauseBody(bool Paused) override;
  void start(const ResponseHead &Answer,
             std::optional<std::uint64_t> ContentLength) override;
  std::size_t write(std::string_view Part) override;
  void finish() override;
  void abort() override;
  /// @}

  /// @name Calls of the connection
  /// @{
  void setHandler(std::unique_ptr<ExchangeHandler> Of) {
    Handler = std::move(Of);
  }
  void takeBody(std::string_view Part);
  void takeBodyEnd();
  /// @brief Ends the request for its handler, since its body is malformed, and
  ///        refuses it unless an answer has begun.
  void refuseBody();
  /// @brief Whether body parts may be handed over; those after the end of the
  ///        answer are dropped.
  bool acceptsBody() const { return !BodyPaused || Finished; }
  bool isBodyWhole() const { return BodyWhole; }
  /// @brief Estimate of the bytes that the request takes until its answer.
  std::size_t heldBytes() const;
  /// @brief Whether the rest of the body is short enough to be read and
  /// dropped.
  bool isBodyDrainable() const;
  /// @brief The caller waits for a sign before it sends the body; it gets none
  ///        while the body is held back.
  bool takeContinue();

  bool isStarted() const { return Started; }
  bool isHeadSent() const { return HeadSent; }
  bool isBroken() const { return Broken; }
  /// @brief All bytes of the answer were handed over by `fill`.
  bool isSent() const { return HeadSent && Finished && EndSent; }
  /// @brief Appends the head of the answer.
  void formatHead(std::string &To, bool Closes);
  /// @brief Appends further bytes of the answer, up to about a block.
  void fill(std::string &To);
  /// @brief Ends the exchange for its handler.
  void close(bool Whole);
  /// @}

private:
  bool isChunked() const { return !AnswerLength && HasBody; }

  ParsedHead Parsed;
  std::function<void()> OnChange;
  std::unique_ptr<ExchangeHandler> Handler;

  std::uint64_t BodyTaken = 0;
  bool BodyPaused = false;
  bool BodyWhole = false;
  bool ContinueOwed = false;
  std::size_t HeadBytes = 0;

  ResponseHead Answer;
  std::optional<std::uint64_t> AnswerLength;
  /// Bytes of the answer's body that were written.
  std::uint64_t Written = 0;
  ByteQueue Out;
  bool HasBody = true;
  bool Started = false;
  bool Finished = false;
  bool Broken = false;
  bool HeadSent = false;
  bool EndSent = false;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_LIB_IO_HTTPEXCHANGE_H
