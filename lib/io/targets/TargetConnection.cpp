#include "TargetConnection.h"
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
constexpr std::size_t BodyPartBytes = std::size_t{64} * 1024;
/// Unsent bytes below which the handler is asked for more.
constexpr std::size_t SendLowMark = std::size_t{64} * 1024;
/// Bytes beside the body that an answer may have: a fixed part for interim
/// answers, head and trailers, and a multiple of the body that covers chunks of
/// one byte.
constexpr std::uint64_t MaxFramingBytes = std::uint64_t{64} * 1024;
constexpr std::uint64_t MaxFramingPerBodyByte = 8;
/// Bytes of answers to other requests that are read while one request waits.
constexpr std::uint64_t MaxDroppedBytes = std::uint64_t{4} * 1024 * 1024;
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
                   Current->Request.What.Method == "HEAD");
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
  if (Result.Parsed->Status < 200) {
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
  Dropping = Dropping || Current == nullptr || Current->Handler == nullptr ||
             Owner.answeredRequest(Head).value_or(Current->Request.Id) !=
                 Current->Request.Id;
  if (Dropping) {
    DroppedBytes += AnswerBytes;
    Owner.dropped(*this, Head);
    // It takes the connection with it.
    if (Parser.endsWithConnection() || !Parser.keepsConnection())
      fail(ClientEnd::Failed);
    return;
  }
  const std::shared_ptr<Transfer> Kept = Current;
  Kept->Handler->onHead(Head);
}

/// @return whether to go on
bool TargetConnection::parseBody() {
  if (Parser.isWhole()) {
    finishAnswer();
    return true;
  }
  if (Input.empty() || (!Dropping && Current->AnswerHeld))
    return false;
  if (!Dropping && containsCopy()) {
    fail(ClientEnd::Failed);
    return false;
  }
  std::array<char, BodyPartBytes> Part;
  const BodyResult Result = Parser.parseBody(Input, Part.data(), Part.size());
  Input.erase(0, Result.Consumed);
  AnswerBytes += Result.Consumed;
  BodyBytes += Result.Produced;
  if (Dropping)
    DroppedBytes += Result.Consumed;
  const bool TooLong = Result.Consumed == 0 && Input.size() >= InputBoundBytes;
  if (Result.Malformed || TooLong || hasEndlessFraming() ||
      DroppedBytes > MaxDroppedBytes) {
    fail(ClientEnd::Failed);
    return false;
  }
  if (!Dropping && Result.Produced > 0) {
    const std::shared_ptr<Transfer> Kept = Current;
    Kept->Handler->onBody({Part.data(), Result.Produced});
  }
  return Result.Consumed > 0 || Parser.isWhole();
}

/// Where a target broke its answer off without closing the connection, a copy
/// of this answer or of an earlier one would be taken for the rest of the body.
bool TargetConnection::containsCopy() const {
  constexpr std::string_view Version = "HTTP/1.1 ";
  constexpr std::string_view HeadEnd = "\r\n\r\n";
  const std::size_t BodyEnd = Parser.bodyBytesLeft();
  for (std::size_t At = Input.find(Version); At < BodyEnd;
       At = Input.find(Version, At + 1)) {
    const std::size_t End = Input.find(HeadEnd, At);
    if (End == std::string::npos)
      return false;
    const auto Head = AnswerParser()
                          .parseHead(std::string_view(Input).substr(
                              At, End + HeadEnd.size() - At))
                          .Parsed;
    const auto Id = Head ? Owner.answeredRequest(*Head) : std::nullopt;
    if (Id && CarriedIds.contains(*Id))
      return true;
  }
  return false;
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
  const HttpClient::Request &What = Done->Request.What;
  // A copy of the answer to a HEAD states a body that does not follow.
  const bool Reusable = Parser.keepsConnection() && Done->isBodySent() &&
                        !SendFailed && !What.FreshConnection &&
                        What.Method != "HEAD" &&
                        CarriedIds.size() < MaxRequests;
  if (!Reusable)
    close();
  IdleSince = Owner.now();
  if (Input.empty())
    Input = std::string();
  endCurrent(ClientEnd::Complete);
  startNextAnswer();
}

void TargetConnection::endOfStream() {
  const bool Unframed =
      HeadParsed && !Dropping && Input.empty() && Parser.endsWithConnection();
  if (Unframed && Current != nullptr && Current->Request.What.AcceptUnframed &&
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
  if (Current != nullptr)
    Current->Connection = nullptr;
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
