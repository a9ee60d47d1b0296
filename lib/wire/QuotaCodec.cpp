#include "filbertvane/wire/QuotaCodec.h"
#include <limits>

namespace filbertvane::wire {

namespace quota = decision::mesh::quota;

namespace {

/// First bytes; a host report starts with 0x18, its first field in Thrift's
/// compact protocol.
constexpr char RequestTag = '\xf1';
constexpr char ReplyTag = '\xf2';
constexpr std::size_t MaxNameBytes = 256;
/// Later times would overflow when a term is added.
constexpr std::uint64_t MaxMicros = std::uint64_t{1} << 60;
/// An owner knows nothing beyond the term of its loans; a longer time would
/// refuse a tenant for as long.
constexpr auto MaxMillis = static_cast<std::uint64_t>(quota::LoanTerm.count());
constexpr std::uint64_t MaxCount = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t AnyNumber = std::numeric_limits<std::uint64_t>::max();
constexpr unsigned PayloadBits = 7;
constexpr unsigned char MoreFollow = 0x80;

/// Numbers are written in groups of seven bits, the lowest first.
class Writer {
public:
  explicit Writer(char Tag) : Bytes(1, Tag) {}

  void number(std::uint64_t Value) {
    for (; Value >= MoreFollow; Value >>= PayloadBits)
      Bytes.push_back(
          static_cast<char>((Value & (MoreFollow - 1U)) | MoreFollow));
    Bytes.push_back(static_cast<char>(Value));
  }
  void text(const std::string &Value) {
    number(Value.size());
    Bytes += Value;
  }
  void time(core::TimePoint Value) {
    number(static_cast<std::uint64_t>(Value.time_since_epoch().count()));
  }
  void process(const quota::Process &Value) {
    text(Value.Node.value());
    number(Value.Incarnation.value());
  }
  bool hasRoomFor(const core::TenantName &Tenant) const {
    constexpr std::size_t NumbersBytes = 24;
    return Bytes.size() + Tenant.value().size() + NumbersBytes <= MaxQuotaBytes;
  }
  std::string take() { return std::move(Bytes); }

private:
  std::string Bytes;
};

/// Reads numbers and remembers whether all of them were whole and in range.
class Reader {
public:
  explicit Reader(std::string_view Bytes) : Rest(Bytes) {}

  std::uint64_t number(std::uint64_t Largest) {
    std::uint64_t Value = 0;
    for (unsigned Shift = 0; Shift < 64; Shift += PayloadBits) {
      if (Rest.empty())
        break;
      const auto Next = static_cast<unsigned char>(Rest.front());
      Rest.remove_prefix(1);
      Value |= static_cast<std::uint64_t>(Next & (MoreFollow - 1U)) << Shift;
      if (Next < MoreFollow) {
        Failed = Failed || Value > Largest;
        return Failed ? 0 : Value;
      }
    }
    Failed = true;
    return 0;
  }
  std::string text() {
    const std::uint64_t Size = number(MaxNameBytes);
    Failed = Failed || Size > Rest.size();
    if (Failed)
      return {};
    std::string Value(Rest.substr(0, Size));
    Rest.remove_prefix(Size);
    return Value;
  }
  core::TimePoint time() {
    return core::TimePoint(
        core::Microseconds(static_cast<std::int64_t>(number(MaxMicros))));
  }
  quota::Process process() {
    quota::Process Value;
    Value.Node = core::NodeId(text());
    Value.Incarnation = core::Incarnation(number(AnyNumber));
    return Value;
  }
  bool failed() const { return Failed; }
  bool hasMore() const { return !Failed && !Rest.empty(); }

private:
  std::string_view Rest;
  bool Failed = false;
};

std::string encodeMessage(const quota::QuotaRequest &Request) {
  Writer Out(RequestTag);
  Out.process(Request.From);
  Out.time(Request.SentAt);
  Out.number(Request.Lent.Groups);
  if (Request.Lent.Groups != 0) {
    Out.number(Request.Lent.OwnerIncarnation.value());
    Out.time(Request.Lent.OwnerSentAt);
    Out.number(Request.Lent.Nodes);
  }
  for (const quota::TokenDemand &Each : Request.Demands) {
    if (!Out.hasRoomFor(Each.Tenant))
      break;
    Out.text(Each.Tenant.value());
    Out.number(Each.Tokens);
  }
  return Out.take();
}

std::string encodeMessage(const quota::QuotaReply &Reply) {
  Writer Out(ReplyTag);
  Out.process(Reply.From);
  Out.time(Reply.SentAt);
  Out.number(Reply.ToIncarnation.value());
  Out.time(Reply.RequestSentAt);
  for (const quota::TokenGrant &Each : Reply.Grants) {
    if (!Out.hasRoomFor(Each.Tenant))
      break;
    Out.text(Each.Tenant.value());
    Out.number(Each.Tokens);
    Out.number(static_cast<std::uint64_t>(Each.NextIn.count()));
  }
  return Out.take();
}

quota::QuotaRequest readRequest(Reader &In) {
  quota::QuotaRequest Request;
  Request.From = In.process();
  Request.SentAt = In.time();
  Request.Lent.Groups = In.number(AnyNumber);
  if (Request.Lent.Groups != 0) {
    Request.Lent.OwnerIncarnation = core::Incarnation(In.number(AnyNumber));
    Request.Lent.OwnerSentAt = In.time();
    Request.Lent.Nodes = static_cast<std::uint32_t>(In.number(MaxCount));
  }
  while (In.hasMore()) {
    quota::TokenDemand Demand;
    Demand.Tenant = core::TenantName(In.text());
    Demand.Tokens = static_cast<std::uint32_t>(In.number(MaxCount));
    Request.Demands.push_back(std::move(Demand));
  }
  return Request;
}

quota::QuotaReply readReply(Reader &In) {
  quota::QuotaReply Reply;
  Reply.From = In.process();
  Reply.SentAt = In.time();
  Reply.ToIncarnation = core::Incarnation(In.number(AnyNumber));
  Reply.RequestSentAt = In.time();
  while (In.hasMore()) {
    quota::TokenGrant Grant;
    Grant.Tenant = core::TenantName(In.text());
    Grant.Tokens = static_cast<std::uint32_t>(In.number(MaxCount));
    Grant.NextIn =
        core::Milliseconds(static_cast<std::int64_t>(In.number(MaxMillis)));
    Reply.Grants.push_back(std::move(Grant));
  }
  return Reply;
}

} // namespace

bool isQuotaMessage(std::string_view Bytes) {
  return !Bytes.empty() &&
         (Bytes.front() == RequestTag || Bytes.front() == ReplyTag);
}

std::string encode(const QuotaMessage &Message) {
  return std::visit([](const auto &Each) { return encodeMessage(Each); },
                    Message);
}

core::Result<QuotaMessage> decodeQuotaMessage(std::string_view Bytes) {
  if (Bytes.size() > MaxQuotaBytes)
    return core::Error{core::ErrorCode::WireTooLarge, "quota message"};
  if (!isQuotaMessage(Bytes))
    return core::Error{core::ErrorCode::WireMalformed, "no quota message"};
  Reader In(Bytes.substr(1));
  QuotaMessage Message;
  if (Bytes.front() == RequestTag)
    Message = readRequest(In);
  else
    Message = readReply(In);
  if (In.failed())
    return core::Error{core::ErrorCode::WireMalformed, "quota message"};
  return Message;
}

} // namespace filbertvane::wire
