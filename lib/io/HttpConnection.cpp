#include "HttpConnection.h"
#include <array>
#include <sys/socket.h>
#include <unistd.h>

namespace filbertvane::io {

namespace {

/// Bytes read from the socket at once.
constexpr std::size_t ReadBlockBytes = std::size_t{16} * 1024;
/// Unparsed bytes above which the socket is not read.
constexpr std::size_t InputBoundBytes = std::size_t{32} * 1024;
/// Framed answer bytes above which no more are framed.
constexpr std::size_t OutputBoundBytes = std::size_t{64} * 1024;
/// Bytes of a request's framing (line breaks before it, lines of chunks,
/// trailers) that are read in all, beside `FramingRatio` for each byte of its
/// body. A chunk of one byte takes five.
constexpr std::size_t FramingBytes = std::size_t{64} * 1024;
constexpr std::size_t FramingRatio = 8;
/// Bytes of one line of a chunk, or of all trailers; as many as a head may
/// have.
constexpr std::size_t MaxTrailerBytes = std::size_t{16} * 1024;
/// Buffers of an idle connection above which they are given back.
constexpr std::size_t IdleBufferBytes = std::size_t{4} * 1024;
/// Time for which the rest of a request is read and dropped after the closing
/// answer. A reset would destroy an answer that the caller has not read yet.
constexpr core::Milliseconds LingerTime{5000};

} // namespace

HttpConnection::HttpConnection(EventLoop &Loop, ConnectionOwner &Owner, int Fd,
                               std::string Remote, std::size_t MaxHeadBytes)
    : Owner(Owner), Fd(Fd), Remote(std::move(Remote)),
      Watch(std::make_unique<Descriptor>(
          Loop, Fd, [this](int Ready) { handleEvents(Ready); })),
      Parser(MaxHeadBytes), OpenedAt(Owner.now()) {
  Owner.inputs().add(*this);
  touch();
  updateWatch();
}

HttpConnection::~HttpConnection() {
  close();
  Owner.inputs().remove(*this);
}

void HttpConnection::handleEvents(int Ready) {
  if ((Ready & Descriptor::Readable) != 0 && !receive())
    return drop();
  pump();
}

/// @return false when the caller closed or reset the connection
bool HttpConnection::receive() {
  std::array<char, ReadBlockBytes> Block;
  const ssize_t Count = recv(Fd, Block.data(), Block.size(), 0);
  if (Count < 0)
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  if (Count == 0)
    return false;
  // Input that is dropped does not keep a connection open.
  if (DropsInput)
    return true;
  touch();
  Input.append(Block.data(), static_cast<std::size_t>(Count));
  return true;
}

void HttpConnection::pump() {
  if (Pumping) {
    PumpAgain = true;
    return;
  }
  Pumping = true;
  do {
    PumpAgain = false;
    const bool Parsed = parse();
    const bool Sent = send();
    PumpAgain = PumpAgain || Parsed || Sent;
  } while (PumpAgain && !isClosed());
  Pumping = false;
  updateWatch();
  account();
  Owner.inputs().relieve();
}

decision::connections::ConnectionUse HttpConnection::use() const {
  using decision::connections::Progress;
  Progress Reached = Served ? Progress::Served : Progress::NoRequest;
  if (Lingering || isClosed())
    Reached = Progress::Closing;
  else if (!Served && !HeadParsed && Exchanges.empty())
    Reached = Progress::NoHead;
  const bool Idle = Exchanges.empty() && Input.empty() && Output.empty();
  return {Reached, Owner.isForNodes(), OpenedAt, Counted,
          Idle ? std::optional(IdleAt) : std::nullopt};
}

std::size_t HttpConnection::heldBytes() const {
  std::size_t Sum = Input.capacity();
  for (const auto &Each : Exchanges)
    Sum += Each->heldBytes();
  return Sum;
}

/// Buffers that have grown are given back while the connection is idle.
void HttpConnection::account() {
  const bool Idle = Exchanges.empty() && Input.empty() && Output.empty();
  if (Idle && Input.capacity() > IdleBufferBytes)
    Input = std::string();
  if (Idle && Output.capacity() > IdleBufferBytes)
    Output = std::string();
  const std::size_t Held = isClosed() ? 0 : heldBytes();
  Owner.inputs().change(std::exchange(Counted, Held), Held);
}

bool HttpConnection::parse() {
  bool Progress = false;
  while (!isClosed() && !DropsInput && (HeadParsed ? parseBody() : parseHead()))
    Progress = true;
  return Progress;
}

/// Some callers end a body with a line break that belongs to no request. The
/// first half of one is kept until the second half arrives.
/// @return false when there are too many
bool HttpConnection::skipLineBreaks() {
  std::size_t Count = 0;
  while (std::string_view(Input).substr(Count).starts_with("\r\n"))
    Count += 2;
  Input.erase(0, Count);
  Framing += Count;
  return Framing <= FramingBytes;
}

/// @return whether a head was taken
bool HttpConnection::parseHead() {
  if (!Parser.isHeadBegun() && !skipLineBreaks()) {
    ++Owner.inputs().Refused.Framing;
    refuseHead(400);
    return true;
  }
  const bool IsHalfBreak = !Parser.isHeadBegun() && Input == "\r";
  if (Input.empty() || IsHalfBreak || !Reuse.acceptsRequest())
    return false;
  const RequestParser::HeadResult Result = Parser.parseHead(Input);
  Input.erase(0, Result.Consumed);
  if (Result.Fault != 0) {
    refuseHead(Result.Fault);
    return true;
  }
  if (!Result.Parsed)
    return false;
  // After a pause of the process, a request and the close that followed it can
  // be waiting together.
  Owner.takeHangups();
  if (isClosed())
    return false;
  open(*Result.Parsed);
  return true;
}

void HttpConnection::open(ParsedHead Parsed) {
  Parsed.Head.Remote = Remote;
  HeadParsed = true;
  if (Parsed.CallerCloses)
    Reuse.closeAfterLast();
  Reuse.requestRead();
  Exchanges.push_back(std::make_unique<HttpExchange>(
      std::move(Parsed), [this] { Owner.wake(*this); }));
  Framing = 0;
  Reading = Exchanges.back().get();
  Reading->setHandler(Owner.accept(*Reading));
}

/// What follows a malformed head cannot be told from its body.
void HttpConnection::refuseHead(int Status) {
  DropsInput = true;
  Input.clear();
  Reuse.closeAfterLast();
  Reuse.requestRead();
  Exchanges.push_back(std::make_unique<HttpExchange>(ParsedHead{}, [] {}));
  Exchanges.back()->takeBodyEnd();
  Exchanges.back()->respond(Status, "");
}

/// The answers to the requests before this one are still delivered.
void HttpConnection::refuseBody() {
  DropsInput = true;
  Input.clear();
  Reuse.closeAfterLast();
  if (Reading != nullptr)
    Reading->refuseBody();
  Reading = nullptr;
}

/// Lines of chunks and trailers are parsed when they are whole and wait in the
/// input until then.
bool HttpConnection::isFramingBounded(const BodyResult &Parsed) const {
  const bool Waits = Parsed.Consumed == 0 && Parsed.Produced == 0;
  return (!Waits || Input.size() <= MaxTrailerBytes) &&
         Framing <= FramingBytes + FramingRatio * BodyBytes;
}

/// @return whether bytes were taken or the request is whole
bool HttpConnection::parseBody() {
  if (Reading != nullptr && !Reading->acceptsBody())
    return false;
  if (!Parser.isRequestWhole()) {
    if (Input.empty())
      return false;
    std::array<char, ReadBlockBytes> Part;
    const BodyResult Result = Parser.parseBody(Input, Part.data(), Part.size());
    Input.erase(0, Result.Consumed);
    Framing += Result.Consumed - Result.Produced;
    BodyBytes += Result.Produced;
    const bool Bounded = isFramingBounded(Result);
    Owner.inputs().Refused.Framing += Bounded ? 0 : 1;
    if (Result.Malformed || !Bounded) {
      refuseBody();
      return true;
    }
    if (Reading != nullptr && Result.Produced > 0)
      Reading->takeBody({Part.data(), Result.Produced});
    return Result.Consumed > 0;
  }
  if (Reading != nullptr)
    Reading->takeBodyEnd();
  Reading = nullptr;
  HeadParsed = false;
  Served = true;
  Framing = BodyBytes = 0;
  Parser.startNext();
  return true;
}

bool HttpConnection::send() {
  bool Progress = false;
  while (!isClosed() && nextBytes()) {
    if (!flush())
      break;
    Progress = true;
  }
  return Progress;
}

/// @return whether there are bytes to send
bool HttpConnection::nextBytes() {
  if (Exchanges.empty())
    return !Output.empty();
  HttpExchange &Front = *Exchanges.front();
  if (Front.isBroken()) {
    close();
    return false;
  }
  if (!Output.empty())
    return true;
  if (Reading == &Front && Front.acceptsBody() && Front.takeContinue())
    Output += "HTTP/1.1 100 Continue\r\n\r\n";
  if (!Front.isStarted())
    return !Output.empty();
  if (!Front.isHeadSent()) {
    if (!Front.isBodyDrainable())
      Reuse.closeAfterLast();
    Front.formatHead(Output, Reuse.startAnswer());
  }
  while (Output.size() < OutputBoundBytes) {
    const std::size_t Before = Output.size();
    Front.fill(Output);
    if (Output.size() == Before)
      break;
  }
  if (Front.isBroken()) {
    close();
    return false;
  }
  if (Output.empty() && Front.isSent())
    popAnswered();
  return !Output.empty();
}

/// @return whether all framed bytes were sent
bool HttpConnection::flush() {
  while (OutputSent < Output.size()) {
    const ssize_t Count = ::send(Fd, Output.data() + OutputSent,
                                 Output.size() - OutputSent, MSG_NOSIGNAL);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return false;
    if (Count < 0) {
      close();
      return false;
    }
    touch();
    OutputSent += static_cast<std::size_t>(Count);
  }
  Output.clear();
  OutputSent = 0;
  if (!Exchanges.empty() && Exchanges.front()->isSent())
    popAnswered();
  return true;
}

void HttpConnection::popAnswered() {
  const std::unique_ptr<HttpExchange> Done = std::move(Exchanges.front());
  Exchanges.pop_front();
  if (Reading == Done.get())
    Reading = nullptr;
  Reuse.finishAnswer();
  // The next answer may be ready, and a request held back may be read.
  PumpAgain = true;
  Done->close(true);
  if (Reuse.isOver())
    linger();
}

void HttpConnection::linger() {
  Lingering = DropsInput = true;
  Input.clear();
  shutdown(Fd, SHUT_WR);
  LingerUntil = Owner.now() + LingerTime;
}

void HttpConnection::drop() { close(); }

void HttpConnection::close() {
  if (Fd < 0)
    return;
  Watch->watch(Descriptor::None);
  ::close(Fd);
  Fd = -1;
  Reading = nullptr;
  const auto Ending = std::exchange(Exchanges, {});
  for (const auto &Exchange : Ending)
    Exchange->close(false);
  Input = Output = std::string();
  account();
  // The owner removes closed connections after its own calls.
  Owner.wake(*this);
}

void HttpConnection::closeAfterAnswers() { Reuse.closeAfterLast(); }

bool HttpConnection::waitsForCaller() const {
  const bool WaitsForBody =
      Reading != nullptr && Reading->acceptsBody() && !Reading->isBodyWhole();
  return Exchanges.empty() || WaitsForBody || !Output.empty();
}

void HttpConnection::closeIfExpired(core::TimePoint Now) {
  const bool Expired =
      Lingering ? Now >= LingerUntil : waitsForCaller() && Now >= IdleAt;
  if (Expired)
    drop();
}

void HttpConnection::updateWatch() {
  if (isClosed())
    return;
  const bool TakesBody =
      HeadParsed && (Reading == nullptr || Reading->acceptsBody());
  const bool Reads =
      DropsInput || TakesBody ||
      (!HeadParsed && Reuse.acceptsRequest() && Input.size() < InputBoundBytes);
  const int Wanted = (Reads ? Descriptor::Readable : 0) |
                     (Output.empty() ? 0 : Descriptor::Writable);
  if (Wanted == Watched)
    return;
  Watched = Wanted;
  Watch->watch(Wanted);
}

} // namespace filbertvane::io
