#include "MhdExchange.h"
#include <arpa/inet.h>
#include <charconv>
#include <cstring>

namespace filbertvane::io {

namespace {

/// Answer bytes below which the handler is asked for more.
constexpr std::size_t WriteLowMark = std::size_t{64} * 1024;
/// Largest block that libmicrohttpd asks for at once.
constexpr std::size_t ReadBlockBytes = std::size_t{32} * 1024;
/// Request body that is read and dropped after the answer is finished, so that
/// the caller reads the answer instead of a connection reset.
constexpr std::size_t DrainLimitBytes = std::size_t{1024} * 1024;

std::string addressText(const sockaddr *Address) {
  if (Address == nullptr)
    return {};
  char Text[INET6_ADDRSTRLEN] = {};
  if (Address->sa_family == AF_INET) {
    const auto *V4 = reinterpret_cast<const sockaddr_in *>(Address);
    inet_ntop(AF_INET, &V4->sin_addr, Text, sizeof Text);
    return std::string(Text) + ":" + std::to_string(ntohs(V4->sin_port));
  }
  const auto *V6 = reinterpret_cast<const sockaddr_in6 *>(Address);
  inet_ntop(AF_INET6, &V6->sin6_addr, Text, sizeof Text);
  return "[" + std::string(Text) + "]:" + std::to_string(ntohs(V6->sin6_port));
}

bool hasControlBytes(const std::string &Text) {
  for (const unsigned char Byte : Text)
    if ((Byte < 0x20 && Byte != '\t') || Byte == 0x7f)
      return true;
  return false;
}

std::optional<std::uint64_t> parseLength(const std::string &Text) {
  std::uint64_t Length = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Fault] = std::from_chars(Text.data(), End, Length);
  if (Fault != std::errc() || Stop != End || Text.empty())
    return std::nullopt;
  return Length;
}

bool sameName(const std::string &A, const char *B) {
  return strcasecmp(A.c_str(), B) == 0;
}

/// Headers that libmicrohttpd writes itself from the response's length.
bool isFraming(const std::string &Name) {
  return sameName(Name, "Content-Length") ||
         sameName(Name, "Transfer-Encoding") || sameName(Name, "Connection");
}

ssize_t readAnswer(void *Exchange, std::uint64_t, char *Out, std::size_t Room) {
  return static_cast<MhdExchange *>(Exchange)->read(Out, Room);
}

} // namespace

void MhdExchange::collectHeaders() {
  const auto Collect = [](void *Fields, MHD_ValueKind, const char *Name,
                          std::size_t NameSize, const char *Value,
                          std::size_t ValueSize) {
    static_cast<Headers *>(Fields)->emplace(
        std::string(Name, NameSize),
        Value == nullptr ? std::string() : std::string(Value, ValueSize));
    return MHD_YES;
  };
  MHD_get_connection_values_n(Connection, MHD_HEADER_KIND, Collect,
                              &Head.Fields);
}

std::optional<int> MhdExchange::headFault(const char *Version,
                                          std::size_t MaxHeadBytes) const {
  const MHD_ConnectionInfo *Size = MHD_get_connection_info(
      Connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  if (Size != nullptr && Size->header_size > MaxHeadBytes)
    return 431;
  // An HTTP/1.0 answer without a length ends with the connection, so that a
  // broken one could not be told from a whole one.
  if (std::strcmp(Version, "HTTP/1.1") != 0)
    return 505;
  for (const auto &[Name, Value] : Head.Fields)
    if (Name.empty() || hasControlBytes(Name) || hasControlBytes(Value))
      return 400;
  if (Head.Fields.count("Host") != 1)
    return 400;
  // Two framings of one body would let a caller hide a second request in it.
  const std::size_t Lengths = Head.Fields.count("Content-Length");
  const std::size_t Encodings = Head.Fields.count("Transfer-Encoding");
  if (Lengths + Encodings > 1)
    return 400;
  if (Lengths == 1 && !parseLength(*headerOf(Head.Fields, "Content-Length")))
    return 400;
  if (Encodings == 1 &&
      !sameName(*headerOf(Head.Fields, "Transfer-Encoding"), "chunked"))
    return 400;
  return std::nullopt;
}

MHD_Result MhdExchange::refuseHead(int Status) {
  MHD_Response *Response =
      MHD_create_response_from_buffer(0, nullptr, MHD_RESPMEM_PERSISTENT);
  MHD_add_response_header(Response, "Connection", "close");
  const MHD_Result Result =
      MHD_queue_response(Connection, static_cast<unsigned>(Status), Response);
  MHD_destroy_response(Response);
  Queued = Started = Finished = true;
  return Result;
}

MHD_Result MhdExchange::takeHead(MHD_Connection *From, const char *Method,
                                 const char *Version, std::size_t MaxHeadBytes,
                                 const HttpServer::Acceptor &Accept) {
  Connection = From;
  Head.Method = Method;
  collectHeaders();
  const MHD_ConnectionInfo *Address =
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  Head.Remote =
      addressText(Address == nullptr ? nullptr : Address->client_addr);
  if (const std::optional<int> Fault = headFault(Version, MaxHeadBytes))
    return refuseHead(*Fault);
  if (const auto Length = headerOf(Head.Fields, "Content-Length"))
    DeclaredLength = parseLength(*Length);
  ChunkedBody = Head.Fields.count("Transfer-Encoding") > 0;
  Handler = Accept(*this);
  if (broken())
    return MHD_NO;
  // A refusal before a large body is sent at once; the connection then closes
  // instead of carrying the body.
  const bool LargeBody =
      ChunkedBody || DeclaredLength.value_or(0) > DrainLimitBytes;
  return Finished && LargeBody ? queue() : MHD_YES;
}

MHD_Result MhdExchange::takeBody(const char *Data, std::size_t *Size) {
  if (broken())
    return MHD_NO;
  if (*Size == 0)
    return takeBodyEnd();
  if (Finished) {
    Drained += *Size;
    *Size = 0;
    return Drained > DrainLimitBytes ? MHD_NO : MHD_YES;
  }
  if (BodyPaused) {
    // The unread part stays in libmicrohttpd's buffer and comes again.
    suspend();
    return MHD_YES;
  }
  if (Handler)
    Handler->onBody({Data, *Size});
  *Size = 0;
  return broken() ? MHD_NO : MHD_YES;
}

MHD_Result MhdExchange::takeBodyEnd() {
  if (!BodyWhole && BodyPaused && !Finished) {
    suspend();
    return MHD_YES;
  }
  if (!BodyWhole && Handler) {
    BodyWhole = true;
    Handler->onBodyEnd();
  }
  if (broken())
    return MHD_NO;
  if (Started)
    return Queued ? MHD_YES : queue();
  suspend();
  return MHD_YES;
}

MHD_Response *MhdExchange::buildResponse() {
  // A complete answer goes out in one piece together with its head.
  if (Finished && AnswerLength == Out.size()) {
    const std::string_view Body = Out.front();
    return MHD_create_response_from_buffer(
        Body.size(), const_cast<char *>(Body.data()), MHD_RESPMEM_MUST_COPY);
  }
  return MHD_create_response_from_callback(
      AnswerLength.value_or(MHD_SIZE_UNKNOWN), ReadBlockBytes, readAnswer, this,
      nullptr);
}

MHD_Result MhdExchange::queue() {
  MHD_Response *Response = buildResponse();
  if (Response == nullptr)
    return MHD_NO;
  for (const auto &[Name, Value] : Answer.Fields)
    if (!isFraming(Name))
      MHD_add_response_header(Response, Name.c_str(), Value.c_str());
  if (LastOnConnection)
    MHD_add_response_header(Response, "Connection", "close");
  const MHD_Result Result = MHD_queue_response(
      Connection, static_cast<unsigned>(Answer.Status), Response);
  MHD_destroy_response(Response);
  Queued = true;
  return Result;
}

ssize_t MhdExchange::read(char *Out, std::size_t Room) {
  if (broken())
    return MHD_CONTENT_READER_END_WITH_ERROR;
  const std::size_t Count = this->Out.take(Out, Room);
  if (!Finished && Handler && this->Out.size() < WriteLowMark) {
    Handler->onWritable();
  }
  if (broken())
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (Count > 0)
    return static_cast<ssize_t>(Count);
  if (!this->Out.empty())
    return static_cast<ssize_t>(this->Out.take(Out, Room));
  if (Finished)
    return MHD_CONTENT_READER_END_OF_STREAM;
  suspend();
  return 0;
}

void MhdExchange::pauseBody(bool Paused) {
  BodyPaused = Paused;
  if (!Paused && !BodyWhole)
    resume();
}

void MhdExchange::start(const ResponseHead &With,
                        std::optional<std::uint64_t> ContentLength) {
  if (Started || broken())
    return;
  Answer = With;
  AnswerLength = ContentLength;
  Started = true;
  resume();
}

std::size_t MhdExchange::write(std::string_view Part) {
  if (broken() || Finished)
    return 0;
  Out.append(Part);
  resume();
  return Out.size();
}

void MhdExchange::finish() {
  Finished = true;
  resume();
}

void MhdExchange::abort() {
  Aborted = true;
  Out.clear();
  resume();
}

void MhdExchange::suspend() {
  Suspended = true;
  MHD_suspend_connection(Connection);
}

void MhdExchange::resume() {
  if (!Suspended)
    return;
  Suspended = false;
  MHD_resume_connection(Connection);
  OnResume();
}

void MhdExchange::close(bool Whole) {
  if (!Handler)
    return;
  const std::unique_ptr<ExchangeHandler> Ending = std::move(Handler);
  Ending->onClosed(Whole);
}

void MhdExchange::drop() {
  Gone = true;
  close(false);
  resume();
}

} // namespace filbertvane::io
