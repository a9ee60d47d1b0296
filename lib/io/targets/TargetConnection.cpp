#include "TargetConnection.h"
#include "../StatusKind.h"
#include <array>
#include <sys/socket.h>

namespace filbertvane::io::targets {

namespace {

/// Bytes read from the socket before other connections have their turn.
constexpr std::size_t ReadBlockBytes = std::size_t{64} * 1024;
/// Unparsed bytes above which the socket is not read, or above which the
/// answer is broken off if the parser needs still more.
constexpr std::size_t InputBoundBytes = std::size_t{64} * 1024;
/// Body bytes that are handed on at once.
constexpr std::size_t BodyBlockBytes = std::size_t{64} * 1024;
/// Unsent bytes below which the handler is asked for more.
constexpr std::size_t SendLowMark = std::size_t{64} * 1024;
/// Bytes beside the body that an answer may have: a fixed part for interim
/// answers, head and trailers, and a multiple of the body that covers chunks of
/// one byte.
constexpr std::uint64_t MaxFramingBytes = std::uint64_t{64} * 1024;
constexpr std::uint64_t MaxFramingPerBodyByte = 8;
/// Bytes of answers to other requests that are read while one request waits.
constexpr std::uint64_t MaxDroppedBytes = std::uint64_t{4} * 1024 * 1024;
/// Size of an answer above which its connection is closed: copies of it would
/// reach the bound on what is dropped.
constexpr std::uint64_t MaxReusedAnswerBytes = MaxDroppedBytes / 4;
/// Size up to which the head of an answer is looked for inside a body, and
/// number of texts in one block that are taken for one.
constexpr std::size_t MaxInnerHeadBytes = std::size_t{8} * 1024;
constexpr std::size_t MaxInnerHeads = 16;
/// Requests on one connection, so that their ids stay few.
constexpr std::size_t MaxRequests = 256;

} // namespace

TargetConnection::TargetConnection(EventLoop &Loop, ConnectionOwner &Owner,
                                   control::Socket Opened, std::string Address)
    : Owner(Owner), Socket(std::move(Opened)), Address(std::move(Address)),
      Watch(std::make_unique<Descriptor>(
          Loop, Socket.fd(), [this](int Ready) { handleEvents(Ready); })),
      OpenedAt(Owner.now()), IdleSince(OpenedAt) {
  updateWatch();
}

TargetConnection::~TargetConnection() { Watch->watch(Descriptor::None); }

void TargetConnection::start(std::shared_ptr<Transfer> Next) {
  Current = std::move(Next);
  Current->Connection = this;
  CarriedIds.insert(Current->Request.Id);
  DroppedBytes = 0;
  startNextAnswer();
  pump();
}

void TargetConnection::startNextAnswer() {
  HeadParsed = AnswerBegun = Dropping = false;
  AnswerBytes = BodyBytes = 0;
  Parser.startNext(Current != nullptr &&
                   Current->Request.Message.Method == "HEAD");
}

void TargetConnection::pump() {
  if (isClosed() || Parsing)
    return;
  if (Connected)
    flush();
  parse();
  updateWatch();
}

void TargetConnection::handleEvents(int Ready) {
  if (!Connected) {
    if (control::pendingError(Socket) != 0)
      return fail(ClientEnd::NotSent);
    Connected = (Ready & Descriptor::Writable) != 0;
    return pump();
  }
  const bool Open = (Ready & Descriptor::Readable) == 0 || receive();
  if (isClosed())
    return;
  if (Open)
    return pump();
  StreamEnded = true;
  parse();
  if (isClosed())
    return;
  // What is held back comes before the end.
  if (Current != nullptr && Current->AnswerHeld && !Input.empty())
    return updateWatch();
  endOfStream();
}

/// @return false at the end of the stream
bool TargetConnection::receive() {
  std::array<char, ReadBlockBytes> Block;
  const ssize_t Count = recv(Socket.fd(), Block.data(), Block.size(), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return true;
  if (Count < 0) {
    // What came before a reset is not parsed: an answer that ends with its
    // connection would look whole.
    fail(ClientEnd::Failed);
    return true;
  }
  Input.append(Block.data(), static_cast<std::size_t>(Count));
  return Count > 0;
}

void TargetConnection::flush() {
  if (Current == nullptr)
    return;
  ByteQueue &Out = Current->Out;
  while (!Out.empty() && !SendFailed) {
    const std::string_view Bytes = Out.front();
    const ssize_t Count =
        ::send(Socket.fd(), Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      break;
    if (Count < 0) {
      // The error is taken with this call: the next read reports the regular
      // end. After the end of the stream, a reset fails with EPIPE.
      StreamReset = errno != EPIPE;
      SendFailed = true;
      return;
    }
    Current->Sent = true;
    Out.remove(static_cast<std::size_t>(Count));
  }
  if (!Current->BodyFinished && Out.size() < SendLowMark) {
    Parsing = true;
    const std::shared_ptr<Transfer> Kept = Current;
    Kept->Handler->onSendable();
    Parsing = false;
  }
}

void TargetConnection::parse() {
  if (Parsing)
    return;
  Parsing = true;
  while (!isClosed() && (HeadParsed ? parseBody() : parseHead())) {
  }
  Parsing = false;
}

/// @return whether to go on
bool TargetConnection::parseHead() {
  if (Input.empty())
    return false;
  // An answer whose first byte came before the request is not that of the
  // request, whatever id it has.
  if (!AnswerBegun)
    Dropping = Current == nullptr;
  AnswerBegun = true;
  if (Current != nullptr && !Dropping)
    Current->AnswerSeen = true;
  const AnswerParser::HeadResult Result = Parser.parseHead(Input);
  Input.erase(0, Result.Consumed);
  AnswerBytes += Result.Consumed;
  const bool TooLong = !Result.Parsed && Input.size() >= InputBoundBytes;
  if (Result.Malformed || TooLong || hasEndlessFraming()) {
    fail(ClientEnd::Failed);
    return false;
  }
  if (!Result.Parsed)
    return Result.Consumed > 0 && !Input.empty();
  if (kindOfStatus(Result.Parsed->Status) == StatusKind::Interim) {
    // The final answer follows.
    const std::uint64_t Bytes = AnswerBytes;
    const bool WasDropping = Dropping;
    startNextAnswer();
    AnswerBytes = Bytes;
    AnswerBegun = true;
    Dropping = WasDropping;
    return true;
  }
  HeadParsed = true;
  takeHead(*Result.Parsed);
  return !isClosed();
}

void TargetConnection::takeHead(const ResponseHead &Head) {
  const auto Id = Owner.answeredRequest(Head);
  Dropping = Dropping || Current == nullptr || Current->Handler == nullptr ||
             (Id && *Id != Current->Request.Id && CarriedIds.contains(*Id));
  if (Dropping) {
    DroppedBytes += AnswerBytes;
    Owner.dropped(*this, Head);
    // One that ends with the connection leaves no answer to wait for.
    if (Parser.endsWithConnection() || !Parser.keepsConnection() ||
        DroppedBytes > MaxDroppedBytes)
      fail(ClientEnd::Failed);
    return;
  }
  const std::shared_ptr<Transfer> Kept = Current;
  Kept->Handler->onHead(Head);
}

/// @return whether to go on
bool TargetConnection::parseBody() {
  if (Parser.isComplete()) {
    finishAnswer();
    return true;
  }
  if (Input.empty() || (!Dropping && Current->AnswerHeld))
    return false;
  std::array<char, BodyBlockBytes> Block;
  // Small chunks are handed on together.
  std::size_t Used = 0;
  std::size_t Produced = 0;
  bool Broken = false;
  while (Used < Input.size() && Produced < Block.size() &&
         !Parser.isComplete()) {
    const std::string_view Left = std::string_view(Input).substr(Used);
    const BodyExtent Extent = findBodyExtent(Left);
    if (Extent.AnswerFollows) {
      Input.erase(0, Used + Extent.Bytes);
      startNextAnswer();
      return true;
    }
    const BodyResult Result =
        Parser.parseBody(Left.substr(0, Extent.Bytes), Block.data() + Produced,
                         Block.size() - Produced);
    Used += Result.Consumed;
    Produced += Result.Produced;
    Broken = Extent.Broken || Result.Malformed ||
             (Result.Consumed == 0 && Extent.Bytes >= InputBoundBytes);
    if (Broken || Result.Consumed == 0)
      break;
  }
  Input.erase(0, Used);
  AnswerBytes += Used;
  BodyBytes += Produced;
  if (Dropping)
    DroppedBytes += Used;
  if (Broken || hasEndlessFraming() || DroppedBytes > MaxDroppedBytes) {
    fail(ClientEnd::Failed);
    return false;
  }
  if (!Dropping && Produced > 0) {
    const std::shared_ptr<Transfer> Kept = Current;
    Kept->Handler->onBody({Block.data(), Produced});
  }
  return Used > 0 || Parser.isComplete();
}

/// Where a target broke its answer off without closing the connection, another
/// answer would be taken for the rest of the body.
std::optional<TargetConnection::InnerHead>
TargetConnection::findInnerHead(std::string_view Bytes) const {
  constexpr std::string_view HeadEnd = "\r\n\r\n";
  const std::size_t BodyEnd = Parser.bodyBytesLeft();
  // A head that begins in a chunk may end behind it: the end of a line in the
  // head then stands for the end of the chunk.
  const std::string_view Begins =
      Bytes.size() <= BodyEnd
          ? Bytes
          : Bytes.substr(0, BodyEnd + VersionText.size() - 1);
  std::size_t Found = Begins.find(VersionText);
  for (std::size_t I = 0; I < MaxInnerHeads && Found < BodyEnd; ++I) {
    const std::size_t End =
        Bytes.substr(Found, MaxInnerHeadBytes).find(HeadEnd);
    if (End == std::string_view::npos &&
        Bytes.size() - Found < MaxInnerHeadBytes)
      return InnerHead{Found, std::nullopt};
    const auto Head =
        End == std::string_view::npos
            ? std::nullopt
            : AnswerParser()
                  .parseHead(Bytes.substr(Found, End + HeadEnd.size()))
                  .Parsed;
    const auto Id = Head ? Owner.answeredRequest(*Head) : std::nullopt;
    if (Id && CarriedIds.contains(*Id))
      return InnerHead{Found, Id};
    Found = Begins.find(VersionText, Found + 1);
  }
  for (std::size_t Size = std::min(VersionText.size() - 1, Bytes.size());
       Size > 0; --Size)
    if (Bytes.size() < BodyEnd && Bytes.ends_with(VersionText.substr(0, Size)))
      return InnerHead{Bytes.size() - Size, std::nullopt};
  return std::nullopt;
}

TargetConnection::BodyExtent
TargetConnection::findBodyExtent(std::string_view Bytes) const {
  const auto Inner = findInnerHead(Bytes);
  if (!Inner)
    return {Bytes.size()};
  const std::size_t BodyEnd = Parser.bodyBytesLeft();
  if (!Inner->Request) {
    if (Parser.isChunked())
      return {Inner->At, StreamEnded};
    const bool IsVersion = Bytes.size() - Inner->At >= VersionText.size();
    // The head cannot be told from text that is the end of the body.
    if (Bytes.size() == BodyEnd || (StreamEnded && !IsVersion))
      return {Bytes.size()};
    return {Inner->At, Bytes.size() > BodyEnd || StreamEnded};
  }
  if (!Dropping)
    return {Inner->At, true};
  // The copy broke off, and the answer to the request follows.
  if (Current != nullptr && *Inner->Request == Current->Request.Id)
    return {Inner->At, false, true};
  return {Bytes.size()};
}

bool TargetConnection::hasEndlessFraming() const {
  return AnswerBytes >
         MaxFramingBytes + BodyBytes * (1 + MaxFramingPerBodyByte);
}

void TargetConnection::finishAnswer() {
  if (Dropping)
    return startNextAnswer();
  const std::shared_ptr<Transfer> Done = Current;
  // The rest of a body that the target has not waited for would be taken for
  // the next request.
  const HttpClient::Request &Message = Done->Request.Message;
  // A copy of the answer to a HEAD states a body that does not follow.
  const bool Reusable = Parser.keepsConnection() && Done->isBodySent() &&
                        !SendFailed && !Message.FreshConnection &&
                        Message.Method != "HEAD" && !Done->Request.Id.empty() &&
                        CarriedIds.size() < MaxRequests &&
                        AnswerBytes <= MaxReusedAnswerBytes;
  if (!Reusable)
    close();
  IdleSince = Owner.now();
  if (Input.empty())
    Input = std::string();
  endCurrent(ClientEnd::Complete);
  startNextAnswer();
}

void TargetConnection::endOfStream() {
  const bool Unframed = HeadParsed && !Dropping && !StreamReset &&
                        Input.empty() && Parser.endsWithConnection();
  if (Unframed && Current != nullptr &&
      Current->Request.Message.AcceptUnframed &&
      Parser.finishWithConnection()) {
    close();
    return endCurrent(ClientEnd::Complete);
  }
  fail(ClientEnd::Failed);
}

void TargetConnection::fail(ClientEnd How) {
  close();
  if (Current != nullptr)
    endCurrent(How == ClientEnd::Failed && !Current->Sent ? ClientEnd::NotSent
                                                          : How);
}

void TargetConnection::endCurrent(ClientEnd How) {
  const std::shared_ptr<Transfer> Ended = std::exchange(Current, nullptr);
  Ended->Connection = nullptr;
  Owner.end(Ended, How);
}

void TargetConnection::close() {
  if (isClosed())
    return;
  Watch->watch(Descriptor::None);
  Socket = control::Socket();
  Owner.closed(*this);
}

void TargetConnection::abandon() {
  close();
  if (Current == nullptr)
    return;
  Current->Connection = nullptr;
  Current->Deadline->cancel();
  Current.reset();
}

void TargetConnection::expire() {
  close();
  endCurrent(Current->Sent ? ClientEnd::TimedOut : ClientEnd::NotSent);
}

bool TargetConnection::checkIdle() {
  if (!receive() && !isClosed())
    close();
  if (!isClosed())
    parse();
  return !isClosed() && Input.empty() && !AnswerBegun;
}

void TargetConnection::updateWatch() {
  if (isClosed())
    return;
  const bool Holds = Current != nullptr && Current->AnswerHeld;
  const bool Reads = Connected && !Holds && Input.size() < InputBoundBytes;
  const bool Writes = !Connected || (Current != nullptr &&
                                     !Current->Out.empty() && !SendFailed);
  const int Wanted =
      (Reads ? Descriptor::Readable : 0) | (Writes ? Descriptor::Writable : 0);
  if (Wanted == Watched)
    return;
  Watched = Wanted;
  Watch->watch(Wanted);
}

} // namespace filbertvane::io::targets
