#include "HttpExchange.h"
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <strings.h>

namespace filbertvane::io {

namespace {

/// Answer bytes below which the handler is asked for more.
constexpr std::size_t WriteLowMark = std::size_t{64} * 1024;
/// Answer bytes that are framed at once.
constexpr std::size_t WriteBlockBytes = std::size_t{32} * 1024;
/// Request body that is read and dropped after the answer, so that the
/// connection can be kept.
constexpr std::uint64_t DrainLimitBytes = std::uint64_t{1024} * 1024;

/// Memory of a header beside its bytes: a node of the map with two strings.
constexpr std::size_t FieldBytes = 112;
/// A request in progress has its head here and in the call, and what is sent of
/// it to the target.
constexpr std::size_t HeadCopies = 3;
/// Bytes of a body that are kept for a repeat; more are streamed.
constexpr std::uint64_t KeptBodyBytes = std::uint64_t{64} * 1024;

std::size_t bytesOf(const RequestHead &Head) {
  std::size_t Sum = Head.Path.size();
  for (const auto &[Name, Value] : Head.Fields)
    Sum += FieldBytes + Name.size() + Value.size();
  return Sum * HeadCopies;
}

bool isFraming(const std::string &Name) {
  return strcasecmp(Name.c_str(), "Content-Length") == 0 ||
         strcasecmp(Name.c_str(), "Transfer-Encoding") == 0 ||
         strcasecmp(Name.c_str(), "Connection") == 0;
}

bool allowsBody(int Status) {
  return Status >= 200 && Status != 204 && Status != 304;
}

} // namespace

HttpExchange::HttpExchange(ParsedHead Parsed, std::function<void()> OnChange)
    : Parsed(std::move(Parsed)), OnChange(std::move(OnChange)),
      ContinueOwed(this->Parsed.ExpectsContinue),
      HeadBytes(bytesOf(this->Parsed.Head)) {}

std::size_t HttpExchange::heldBytes() const {
  return HeadBytes +
         static_cast<std::size_t>(std::min(BodyTaken, KeptBodyBytes));
}

void HttpExchange::pauseBody(bool Paused) {
  if (BodyPaused == Paused)
    return;
  BodyPaused = Paused;
  if (!Paused)
    OnChange();
}

void HttpExchange::start(const ResponseHead &With,
                         std::optional<std::uint64_t> ContentLength) {
  if (Started || Broken)
    return;
  Started = true;
  Answer = With;
  AnswerLength = ContentLength;
  HasBody = Parsed.Head.Method != "HEAD" && allowsBody(Answer.Status);
  OnChange();
}

std::size_t HttpExchange::write(std::string_view Part) {
  if (Broken || Finished)
    return 0;
  Written += Part.size();
  if (AnswerLength && Written > *AnswerLength) {
    abort();
    return 0;
  }
  if (HasBody)
    Out.append(Part);
  OnChange();
  return Out.size();
}

/// An answer with less than its stated length must not end as whole.
void HttpExchange::finish() {
  if (Broken || Finished)
    return;
  if (AnswerLength && HasBody && Written != *AnswerLength)
    return abort();
  Finished = true;
  OnChange();
}

void HttpExchange::abort() {
  Broken = true;
  Out.clear();
  OnChange();
}

void HttpExchange::takeBody(std::string_view Part) {
  BodyTaken += Part.size();
  if (Handler && !Finished)
    Handler->onBody(Part);
}

void HttpExchange::takeBodyEnd() {
  BodyWhole = true;
  if (Handler && !Finished)
    Handler->onBodyEnd();
}

void HttpExchange::refuseBody() {
  constexpr int StatusBadRequest = 400;
  BodyWhole = true;
  if (Finished)
    return;
  if (const std::unique_ptr<ExchangeHandler> Ending = std::move(Handler))
    Ending->onClosed(false);
  if (Started)
    abort();
  else
    respond(StatusBadRequest, "");
}

bool HttpExchange::isBodyDrainable() const {
  return BodyWhole ||
         (Parsed.BodyBytes && *Parsed.BodyBytes - BodyTaken <= DrainLimitBytes);
}

bool HttpExchange::takeContinue() {
  return std::exchange(ContinueOwed, false) && !Started && !BodyWhole;
}

void HttpExchange::formatHead(std::string &To, bool Closes) {
  HeadSent = true;
  To += fmt::format("HTTP/1.1 {} {}\r\n", Answer.Status,
                    reasonPhrase(Answer.Status));
  for (const auto &[Name, Value] : Answer.Fields)
    if (!isFraming(Name))
      To += fmt::format("{}: {}\r\n", Name, Value);
  if (AnswerLength && allowsBody(Answer.Status))
    To += fmt::format("Content-Length: {}\r\n", *AnswerLength);
  else if (isChunked())
    To += "Transfer-Encoding: chunked\r\n";
  if (Closes)
    To += "Connection: close\r\n";
  To += "\r\n";
}

void HttpExchange::fill(std::string &To) {
  std::array<char, WriteBlockBytes> Block;
  const std::size_t Count = Out.take(Block.data(), Block.size());
  if (Count > 0 && isChunked())
    To += fmt::format("{:x}\r\n", Count);
  To.append(Block.data(), Count);
  if (Count > 0 && isChunked())
    To += "\r\n";
  if (!Finished && Handler && Out.size() < WriteLowMark)
    Handler->onWritable();
  if (!Finished || !Out.empty() || EndSent)
    return;
  EndSent = true;
  if (isChunked())
    To += "0\r\n\r\n";
}

void HttpExchange::close(bool Whole) {
  Broken = true;
  if (const std::unique_ptr<ExchangeHandler> Ending = std::move(Handler))
    Ending->onClosed(Whole);
}

} // namespace filbertvane::io
