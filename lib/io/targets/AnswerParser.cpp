#include "AnswerParser.h"
#include "../BodyParser.h"
#include "../StatusKind.h"
#include <algorithm>
#include <charconv>
#include <functional>
#include <limits>

namespace filbertvane::io::targets {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t MaxHeadBytes = 64 * 1024;

} // namespace

struct AnswerParser::State {
  State() { Parser.on_chunk_header(OnChunk); }

  http::response_parser<http::buffer_body> Parser;
  /// Of the body, or of the current chunk.
  std::size_t BytesLeft = std::string_view::npos;
  std::function<void(std::uint64_t, boost::beast::string_view,
                     boost::beast::error_code &)>
      OnChunk =
          [this](std::uint64_t Bytes, auto, auto &) { BytesLeft = Bytes; };
};

AnswerParser::AnswerParser() { startNext(false); }

AnswerParser::~AnswerParser() = default;

void AnswerParser::startNext(bool HasNoBody) {
  Current = std::make_unique<State>();
  Current->Parser.header_limit(MaxHeadBytes);
  // Who reads the body bounds it; without a limit, this parser refuses each
  // one that is larger than its default.
  Current->Parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  Current->Parser.skip(HasNoBody);
}

bool AnswerParser::isComplete() const { return Current->Parser.is_done(); }

bool AnswerParser::endsWithConnection() const {
  return Current->Parser.is_header_done() && Current->Parser.need_eof();
}

bool AnswerParser::isChunked() const { return Current->Parser.chunked(); }

std::size_t AnswerParser::bodyBytesLeft() const { return Current->BytesLeft; }

bool AnswerParser::keepsConnection() const {
  return Current->Parser.keep_alive();
}

AnswerParser::HeadResult AnswerParser::parseHead(std::string_view Input) {
  HeadResult Result;
  boost::beast::error_code Fault;
  Result.Consumed = Current->Parser.put(
      boost::asio::const_buffer(Input.data(), Input.size()), Fault);
  Result.Malformed = Fault && Fault != http::error::need_more;
  if (Fault || !Current->Parser.is_header_done())
    return Result;
  const auto &Message = Current->Parser.get();
  // The parser has checked the field. Its own count is an optional value whose
  // copy GCC 12 reports as uninitialised at -O1.
  const auto Length = Message[http::field::content_length];
  if (isChunked())
    Current->BytesLeft = 0;
  else if (!Length.empty())
    std::from_chars(Length.data(), Length.data() + Length.size(),
                    Current->BytesLeft);
  ResponseHead Head;
  Head.Status = static_cast<int>(Message.result_int());
  Result.Malformed = kindOfStatus(Head.Status) == StatusKind::Invalid;
  for (const auto &Field : Message) {
    // A head that broke off in a value goes on with the head of a copy.
    std::string Value(Field.value());
    if (Value.find(VersionText) != std::string::npos) {
      Result.Malformed = true;
      return Result;
    }
    Head.Fields.emplace(std::string(Field.name_string()), std::move(Value));
  }
  Result.Parsed = std::move(Head);
  return Result;
}

BodyResult AnswerParser::parseBody(std::string_view Input, char *Out,
                                   std::size_t Capacity) {
  const bool InChunk = isChunked() && Current->BytesLeft > 0;
  if (InChunk)
    Input = Input.substr(0, Current->BytesLeft);
  const BodyResult Result =
      io::parseBody(Current->Parser, Input, Out, Capacity,
                    isChunked() ? ParseUnit::Part : ParseUnit::All);
  if (InChunk || (!isChunked() && Current->BytesLeft != std::string_view::npos))
    Current->BytesLeft -= std::min(Current->BytesLeft, Result.Consumed);
  return Result;
}

bool AnswerParser::finishWithConnection() {
  if (!Current->Parser.is_header_done())
    return false;
  boost::beast::error_code Fault;
  Current->Parser.put_eof(Fault);
  return !Fault && Current->Parser.is_done();
}

} // namespace filbertvane::io::targets
