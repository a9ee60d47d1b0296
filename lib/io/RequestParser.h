#ifndef FILBERTVANE_LIB_IO_REQUESTPARSER_H
#define FILBERTVANE_LIB_IO_REQUESTPARSER_H

#include "filbertvane/io/HttpServer.h"
#include <memory>

namespace filbertvane::io {

/// @brief What a parsed head says about the framing of its request.
struct ParsedHead {
  RequestHead Head;
  /// Bytes of the body; none when it comes in chunks.
  std::optional<std::uint64_t> BodyBytes;
  /// No further request follows on the connection.
  bool CallerCloses = false;
  bool ExpectsContinue = false;
};

/// @brief What was taken from a message's body.
struct BodyResult {
  std::size_t Consumed = 0;
  /// Bytes written to the output.
  std::size_t Produced = 0;
  bool Malformed = false;
};

/// @brief Parses the requests of one connection one after the other
///        (Boost.Beast).
class RequestParser {
public:
  explicit RequestParser(std::size_t MaxHeadBytes);
  ~RequestParser();

  /// @brief Result of `parseHead`.
  struct HeadResult {
    /// Bytes that were used up.
    std::size_t Consumed = 0;
    /// Set when the head is complete.
    std::optional<ParsedHead> Parsed;
    /// Status of the refusal; 0 while there is no fault.
    int Fault = 0;
  };
  /// @brief Parses the head at the start of the input. Bytes that were not used
  ///        up have to be presented again together with further ones.
  HeadResult parseHead(std::string_view Input);

  /// @brief Removes the framing from the input.
  BodyResult parseBody(std::string_view Input, char *Out, std::size_t Room);

  /// @brief Bytes of the current head were used up.
  bool isHeadBegun() const;
  /// @brief The request that is being parsed has come to its end.
  bool isRequestWhole() const;
  /// @brief Prepares for the head of the next request.
  void startNext();

private:
  struct State;
  std::size_t MaxHeadBytes;
  std::unique_ptr<State> Current;
};

/// @brief Phrase of a status line.
std::string reasonPhrase(int Status);

} // namespace filbertvane::io

#endif // FILBERTVANE_LIB_IO_REQUESTPARSER_H
