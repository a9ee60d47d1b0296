#include "CurlTransfer.h"
#include "RequestText.h"
#include "StatusKind.h"
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace filbertvane::io {

namespace {

/// Body bytes below which the handler is asked for more.
constexpr std::size_t SendLowMark = std::size_t{64} * 1024;
constexpr long ReceiveBufferBytes = 64L * 1024;
/// Time for which sent bytes may stay unacknowledged; several retransmissions
/// fit into it on the longest path.
constexpr int UnacknowledgedMs = 1500;
/// Idle time before the first probe, time between probes, and number of
/// unanswered probes after which a connection is closed.
constexpr int ProbeAfterSeconds = 1;
constexpr int ProbePeriodSeconds = 1;
constexpr int MostProbes = 2;
constexpr std::size_t MaxHeaderLines = 256;
/// Bytes of the interim answers, the head and the trailers of one answer.
/// libcurl keeps all of them until the end of the transfer.
constexpr std::size_t MaxHeaderBytes = std::size_t{64} * 1024;
/// Bytes beside the body that the chunks of an answer may have: a fixed part,
/// and a multiple of the body that covers chunks of one byte.
constexpr std::uint64_t MaxFramingBytes = std::uint64_t{64} * 1024;
constexpr std::uint64_t MaxFramingPerBodyByte = 8;
/// Writes and bytes of a body that are taken before other transfers have their
/// turn.
constexpr std::size_t MaxWritesPerTurn = 64;
constexpr std::size_t MaxBytesPerTurn = std::size_t{256} * 1024;

std::string_view trim(std::string_view Text) {
  constexpr std::string_view Blanks = " \t\r\n";
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

/// libcurl has no option for the number of probes and for unacknowledged bytes.
int detectSilence(void *, curl_socket_t Socket, curlsocktype) {
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof On);
  setsockopt(Socket, IPPROTO_TCP, TCP_KEEPIDLE, &ProbeAfterSeconds,
             sizeof ProbeAfterSeconds);
  setsockopt(Socket, IPPROTO_TCP, TCP_KEEPINTVL, &ProbePeriodSeconds,
             sizeof ProbePeriodSeconds);
  setsockopt(Socket, IPPROTO_TCP, TCP_KEEPCNT, &MostProbes, sizeof MostProbes);
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &UnacknowledgedMs,
             sizeof UnacknowledgedMs);
  return CURL_SOCKOPT_OK;
}

} // namespace

CurlTransfer::CurlTransfer(CURL *Easy, HttpClient::Request What,
                           ClientHandler &Receiver, TurnOverCall OnTurnOver)
    : Easy(Easy), What(std::move(What)), Handler(&Receiver),
      OnTurnOver(std::move(OnTurnOver)) {}

CurlTransfer::~CurlTransfer() { curl_slist_free_all(Lines); }

std::string CurlTransfer::address() const { return addressOf(What.Url); }

bool CurlTransfer::buildHeaders() {
  for (const auto &[Name, Value] : What.Fields) {
    if (isFraming(Name))
      continue;
    if (Name.empty() || !isPlain(Name, false) || !isPlain(Value, true))
      return false;
    // libcurl's notation for a header with an empty value.
    std::string Line = Name;
    Line += Value.empty() ? ";" : ": ";
    Line += Value;
    Lines = curl_slist_append(Lines, Line.c_str());
  }
  // Headers that libcurl would add by itself.
  Lines = curl_slist_append(Lines, What.AwaitContinue ? "Expect: 100-continue"
                                                      : "Expect:");
  if (What.Fields.count("Accept") == 0)
    Lines = curl_slist_append(Lines, "Accept:");
  if (What.Fields.count("Content-Type") == 0)
    Lines = curl_slist_append(Lines, "Content-Type:");
  return true;
}

void CurlTransfer::setMethod() {
  const bool HasBody = What.ContentLength != std::uint64_t{0};
  const bool EmptyBodyStated =
      What.Method == "POST" || What.Method == "PUT" || What.Method == "PATCH";
  if (HasBody) {
    const auto Size = static_cast<curl_off_t>(What.ContentLength.value_or(0));
    curl_easy_setopt(Easy, CURLOPT_UPLOAD, 1L);
    curl_easy_setopt(Easy, CURLOPT_INFILESIZE_LARGE,
                     What.ContentLength ? Size : curl_off_t{-1});
  } else if (What.Method == "HEAD") {
    curl_easy_setopt(Easy, CURLOPT_NOBODY, 1L);
  } else if (EmptyBodyStated) {
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE, curl_off_t{0});
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, "");
  }
  curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, What.Method.c_str());
}

bool CurlTransfer::prepare(const HttpClient::Options &Settings,
                           core::TimePoint Now,
                           std::optional<core::Seconds> MaxAge) {
  const std::size_t Origin = originLength(What.Url);
  const std::string Target =
      Origin < What.Url.size() ? What.Url.substr(Origin) : "/";
  if (!isPlain(Target, false) || !isPlain(What.Method, false) ||
      What.Method.empty() || !buildHeaders())
    return false;
  const auto Left =
      std::chrono::ceil<core::Milliseconds>(What.Deadline - Now).count();
  if (Left <= 0)
    return false;
  const std::string Base = What.Url.substr(0, Origin) + "/";
  curl_easy_setopt(Easy, CURLOPT_URL, Base.c_str());
  curl_easy_setopt(Easy, CURLOPT_REQUEST_TARGET, Target.c_str());
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Lines);
  setMethod();
  curl_easy_setopt(Easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, long{CURL_HTTP_VERSION_1_1});
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Easy, CURLOPT_BUFFERSIZE, ReceiveBufferBytes);
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS, static_cast<long>(Left));
  const core::Milliseconds ConnectTime =
      What.ConnectBy
          ? std::chrono::ceil<core::Milliseconds>(*What.ConnectBy - Now)
          : Settings.ConnectTimeout;
  curl_easy_setopt(
      Easy, CURLOPT_CONNECTTIMEOUT_MS,
      static_cast<long>(std::max(ConnectTime.count(), std::int64_t{1})));
  // A server that never asks for the body ends the request by its deadline.
  if (What.AwaitContinue)
    curl_easy_setopt(Easy, CURLOPT_EXPECT_100_TIMEOUT_MS,
                     static_cast<long>(Left));
  // A limit of 0 s lets connections that were used within the last second.
  curl_easy_setopt(
      Easy, CURLOPT_MAXAGE_CONN,
      What.ProvenConnection ? 0L : static_cast<long>(What.MaxIdle.count()));
  if (What.DetectSilence)
    curl_easy_setopt(Easy, CURLOPT_SOCKOPTFUNCTION, detectSilence);
  if (MaxAge && MaxAge->count() > 0)
    curl_easy_setopt(Easy, CURLOPT_MAXLIFETIME_CONN,
                     static_cast<long>(MaxAge->count()));
  const bool Fresh = What.FreshConnection || (MaxAge && MaxAge->count() <= 0);
  curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, Fresh ? 1L : 0L);
  // A connection that was opened for one request would only add to those that
  // the server has to keep.
  curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, What.FreshConnection ? 1L : 0L);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(Easy, CURLOPT_READFUNCTION, onRead);
  curl_easy_setopt(Easy, CURLOPT_READDATA, this);
  curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, onHandOver);
  curl_easy_setopt(Easy, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(Easy, CURLOPT_VERBOSE, 1L);
  curl_easy_setopt(Easy, CURLOPT_DEBUGFUNCTION, onDebug);
  curl_easy_setopt(Easy, CURLOPT_DEBUGDATA, this);
  curl_easy_setopt(Easy, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(Easy, CURLOPT_XFERINFOFUNCTION, onProgress);
  curl_easy_setopt(Easy, CURLOPT_XFERINFODATA, this);
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, this);
  return true;
}

int CurlTransfer::onHandOver(void *Self, char *, char *, int, int) {
  auto &Transfer = *static_cast<CurlTransfer *>(Self);
  // libcurl sends a request again on another connection when a reused one
  // closes before an answer; the request may already have run then.
  if (++Transfer.HandOvers > 1)
    return CURL_PREREQFUNC_ABORT;
  return CURL_PREREQFUNC_OK;
}

bool CurlTransfer::takeHeaderLine(std::string_view Line) {
  HeaderBytes += Line.size();
  if (HeaderBytes > MaxHeaderBytes)
    return false;
  if (HeadDone)
    return true; // trailer of a chunked answer
  if (Line.substr(0, 5) == "HTTP/") {
    Head = {};
    const auto Status = parseStatus(trim(Line));
    Head.Status = Status.value_or(0);
    return kindOfStatus(Head.Status) != StatusKind::Invalid;
  }
  const std::string_view Text = trim(Line);
  if (Text.empty()) {
    if (kindOfStatus(Head.Status) == StatusKind::Interim)
      return true;
    HeadDone = true;
    Handler->onHead(Head);
    return Handler != nullptr;
  }
  const std::size_t Colon = Text.find(':');
  if (Colon == std::string_view::npos || Head.Fields.size() > MaxHeaderLines)
    return false;
  Head.Fields.emplace(std::string(trim(Text.substr(0, Colon))),
                      std::string(trim(Text.substr(Colon + 1))));
  return true;
}

std::size_t CurlTransfer::onHeader(char *Data, std::size_t Size,
                                   std::size_t Count, void *Self) {
  auto &Transfer = *static_cast<CurlTransfer *>(Self);
  const std::size_t Bytes = Size * Count;
  if (Transfer.Handler == nullptr)
    return 0;
  Transfer.AnswerSeen = true;
  return Transfer.takeHeaderLine({Data, Bytes}) ? Bytes : 0;
}

std::size_t CurlTransfer::onBody(char *Data, std::size_t Size,
                                 std::size_t Count, void *Self) {
  auto &Transfer = *static_cast<CurlTransfer *>(Self);
  const std::size_t Bytes = Size * Count;
  if (Transfer.Handler == nullptr)
    return 0;
  if (!Transfer.TurnOver && (Transfer.TurnWrites >= MaxWritesPerTurn ||
                             Transfer.TurnBytes >= MaxBytesPerTurn)) {
    Transfer.TurnOver = true;
    Transfer.OnTurnOver(Transfer);
  }
  if (Transfer.AnswerHeld || Transfer.TurnOver) {
    Transfer.ReceiveIdle = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  ++Transfer.TurnWrites;
  Transfer.TurnBytes += Bytes;
  Transfer.BodyBytes += Bytes;
  Transfer.Handler->onBody({Data, Bytes});
  return Transfer.Handler == nullptr ? 0 : Bytes;
}

/// Chunk sizes and extensions reach no other callback.
int CurlTransfer::onDebug(CURL *, curl_infotype Type, char *, std::size_t Size,
                          void *Self) {
  if (Type == CURLINFO_DATA_IN)
    static_cast<CurlTransfer *>(Self)->ReceivedBytes += Size;
  return 0;
}

int CurlTransfer::onProgress(void *Self, curl_off_t, curl_off_t, curl_off_t,
                             curl_off_t) {
  return static_cast<CurlTransfer *>(Self)->hasEndlessFraming() ? 1 : 0;
}

/// Bytes of the body that libcurl holds while the transfer is paused count as
/// framing; they are fewer than its buffer has.
bool CurlTransfer::hasEndlessFraming() const {
  return !ReceiveIdle &&
         ReceivedBytes > ReceiveBufferBytes + MaxFramingBytes +
                             BodyBytes * (1 + MaxFramingPerBodyByte);
}

std::size_t CurlTransfer::onRead(char *Data, std::size_t Size,
                                 std::size_t Count, void *Self) {
  auto &Transfer = *static_cast<CurlTransfer *>(Self);
  if (Transfer.Handler == nullptr)
    return CURL_READFUNC_ABORT;
  const std::size_t Taken = Transfer.Out.take(Data, Size * Count);
  if (!Transfer.BodyFinished && Transfer.Out.size() < SendLowMark) {
    Transfer.Handler->onSendable();
    if (Transfer.Handler == nullptr)
      return CURL_READFUNC_ABORT;
  }
  if (Taken > 0 || Transfer.BodyFinished)
    return Taken > 0 ? Taken : Transfer.Out.take(Data, Size * Count);
  Transfer.SendIdle = true;
  return CURL_READFUNC_PAUSE;
}

void CurlTransfer::startTurn() {
  TurnWrites = 0;
  TurnBytes = 0;
  TurnOver = false;
}

void CurlTransfer::applyPauses() {
  const bool SendReady = SendIdle && (!Out.empty() || BodyFinished);
  const bool ReceiveReady = ReceiveIdle && !AnswerHeld && !TurnOver;
  if (!SendReady && !ReceiveReady)
    return;
  if (SendReady)
    SendIdle = false;
  if (ReceiveReady)
    ReceiveIdle = false;
  const int Send = SendIdle ? CURLPAUSE_SEND : 0;
  const int Receive = ReceiveIdle ? CURLPAUSE_RECV : 0;
  curl_easy_pause(Easy, Send | Receive);
}

bool CurlTransfer::wholeLengthKnown() const {
  // An answer that ends with its connection cannot be told from a broken one.
  const bool NoBody =
      What.Method == "HEAD" || Head.Status == 204 || Head.Status == 304;
  return HeadDone && (NoBody || What.AcceptUnframed ||
                      Head.Fields.count("Content-Length") > 0 ||
                      Head.Fields.count("Transfer-Encoding") > 0);
}

ClientEnd CurlTransfer::endOf(CURLcode Code) const {
  if (Code == CURLE_OK)
    return wholeLengthKnown() ? ClientEnd::Complete : ClientEnd::Failed;
  long SentBytes = 0;
  curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &SentBytes);
  if (HandOvers == 0 || (HandOvers == 1 && SentBytes == 0 && !AnswerSeen))
    return ClientEnd::NotSent;
  return Code == CURLE_OPERATION_TIMEDOUT ? ClientEnd::TimedOut
                                          : ClientEnd::Failed;
}

} // namespace filbertvane::io
