#ifndef FILBERTVANE_LIB_IO_BODYPARSER_H
#define FILBERTVANE_LIB_IO_BODYPARSER_H

#include "RequestParser.h"
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace filbertvane::io {

/// @brief Extent of one call of `parseBody`.
enum class ParseUnit {
  All,
  /// Up to the end of the head of a chunk, or of its bytes.
  Part,
};

/// @brief Removes the framing of a body, for requests and answers.
template <bool IsRequest>
BodyResult
parseBody(boost::beast::http::parser<IsRequest, boost::beast::http::buffer_body>
              &Parser,
          std::string_view Input, char *Out, std::size_t Capacity,
          ParseUnit Unit = ParseUnit::All) {
  namespace http = boost::beast::http;
  auto &Body = Parser.get().body();
  Body.data = Out;
  Body.size = Capacity;
  Body.more = true;
  BodyResult Result;
  boost::beast::error_code Fault;
  // One call ends at the border of a chunk.
  while (Result.Consumed < Input.size() && !Fault && !Parser.is_done()) {
    const std::size_t Used =
        Parser.put(boost::asio::const_buffer(Input.data() + Result.Consumed,
                                             Input.size() - Result.Consumed),
                   Fault);
    Result.Consumed += Used;
    if (Used == 0 || Unit == ParseUnit::Part)
      break;
  }
  Result.Produced = Capacity - Body.size;
  Result.Malformed = Fault && Fault != http::error::need_more &&
                     Fault != http::error::need_buffer;
  return Result;
}

} // namespace filbertvane::io

#endif // FILBERTVANE_LIB_IO_BODYPARSER_H
