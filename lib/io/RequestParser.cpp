#include "RequestParser.h"
#include "BodyParser.h"
#include <charconv>
#include <limits>
#include <strings.h>

namespace filbertvane::io {

namespace http = boost::beast::http;

namespace {

bool isName(const std::string &A, const char *B) {
  return strcasecmp(A.c_str(), B) == 0;
}

bool isLength(const std::string &Text) {
  std::uint64_t Length = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Fault] = std::from_chars(Text.data(), End, Length);
  return Fault == std::errc() && Stop == End && !Text.empty();
}

/// Status for a head that the parser took, or 0 when it is acceptable.
int faultOf(const RequestHead &Head, unsigned Version) {
  // An HTTP/1.0 answer without a length ends with the connection, so that a
  // part of it looks like the whole.
  if (Version != 11)
    return 505;
  if (Head.Fields.count("Host") != 1)
    return 400;
  // Two framings of one body would let a caller hide a second request in it.
  const std::size_t Lengths = Head.Fields.count("Content-Length");
  const std::size_t Encodings = Head.Fields.count("Transfer-Encoding");
  if (Lengths + Encodings > 1)
    return 400;
  if (Lengths == 1 && !isLength(*headerOf(Head.Fields, "Content-Length")))
    return 400;
  if (Encodings == 1 &&
      !isName(*headerOf(Head.Fields, "Transfer-Encoding"), "chunked"))
    return 400;
  return 0;
}

int statusOf(const boost::beast::error_code &Fault) {
  if (Fault == http::error::header_limit)
    return 431;
  return Fault == http::error::bad_version ? 505 : 400;
}

} // namespace

struct RequestParser::State {
  http::request_parser<http::buffer_body> Parser;
};

RequestParser::RequestParser(std::size_t MaxHeadBytes)
    : MaxHeadBytes(MaxHeadBytes) {
  startNext();
}

RequestParser::~RequestParser() = default;

void RequestParser::startNext() {
  Current = std::make_unique<State>();
  Current->Parser.header_limit(static_cast<std::uint32_t>(MaxHeadBytes));
  // Bodies are bounded by the configuration; without a limit, this parser
  // refuses each one.
  Current->Parser.body_limit(std::numeric_limits<std::uint64_t>::max());
}

bool RequestParser::isHeadBegun() const { return Current->Parser.got_some(); }

bool RequestParser::isRequestWhole() const { return Current->Parser.is_done(); }

RequestParser::HeadResult RequestParser::parseHead(std::string_view Input) {
  HeadResult Result;
  boost::beast::error_code Fault;
  Result.Consumed = Current->Parser.put(
      boost::asio::const_buffer(Input.data(), Input.size()), Fault);
  if (Fault == http::error::need_more)
    return Result;
  if (Fault) {
    Result.Fault = statusOf(Fault);
    return Result;
  }
  if (!Current->Parser.is_header_done())
    return Result;
  const auto &Message = Current->Parser.get();
  ParsedHead Parsed;
  Parsed.Head.Method = std::string(Message.method_string());
  Parsed.Head.Path = std::string(Message.target());
  for (const auto &Field : Message)
    Parsed.Head.Fields.emplace(std::string(Field.name_string()),
                               std::string(Field.value()));
  Result.Fault = faultOf(Parsed.Head, Message.version());
  if (Result.Fault != 0)
    return Result;
  if (const auto Length = Current->Parser.content_length())
    Parsed.BodyBytes = *Length;
  else if (!Current->Parser.chunked())
    Parsed.BodyBytes = 0;
  Parsed.CallerCloses = !Message.keep_alive();
  if (const auto Expected = headerOf(Parsed.Head.Fields, "Expect"))
    Parsed.ExpectsContinue = isName(*Expected, "100-continue");
  Result.Parsed = std::move(Parsed);
  return Result;
}

BodyResult RequestParser::parseBody(std::string_view Input, char *Out,
                                    std::size_t Room) {
  return io::parseBody(Current->Parser, Input, Out, Room);
}

std::string reasonPhrase(int Status) {
  return std::string(http::obsolete_reason(
      http::int_to_status(static_cast<unsigned>(Status))));
}

} // namespace filbertvane::io
