#include "TargetTransfer.h"
#include "../RequestText.h"
#include <fmt/format.h>

namespace filbertvane::io::targets {

bool Transfer::writeHead() {
  const HttpClient::Request &Message = Request.Message;
  const std::size_t Origin = originLength(Message.Url);
  const std::string Path =
      Origin < Message.Url.size() ? Message.Url.substr(Origin) : "/";
  if (Message.Method.empty() || !isPlain(Message.Method, false) ||
      !isPlain(Path, false))
    return false;
  std::string Head = fmt::format("{} {} HTTP/1.1\r\n", Message.Method, Path);
  if (Message.Fields.count("Host") == 0)
    Head += fmt::format("Host: {}\r\n", addressOf(Message.Url));
  for (const auto &[Name, Value] : Message.Fields) {
    if (isFraming(Name))
      continue;
    if (Name.empty() || !isPlain(Name, false) || !isPlain(Value, true))
      return false;
    Head += fmt::format("{}: {}\r\n", Name, Value);
  }
  const bool StatesEmptyBody = Message.Method == "POST" ||
                               Message.Method == "PUT" ||
                               Message.Method == "PATCH";
  if (!Message.ContentLength)
    Head += "Transfer-Encoding: chunked\r\n";
  else if (*Message.ContentLength > 0 || StatesEmptyBody)
    Head += fmt::format("Content-Length: {}\r\n", *Message.ContentLength);
  Head += "\r\n";
  const std::string Body(Out.front());
  Out.clear();
  Out.append(Head);
  Out.append(Body);
  return true;
}

void Transfer::writeBody(std::string_view Block) {
  if (Block.empty())
    return;
  if (Request.Message.ContentLength) {
    Out.append(Block);
    return;
  }
  Out.append(fmt::format("{:x}\r\n", Block.size()));
  Out.append(Block);
  Out.append("\r\n");
}

void Transfer::finishBody() {
  if (BodyFinished)
    return;
  BodyFinished = true;
  if (!Request.Message.ContentLength)
    Out.append("0\r\n\r\n");
}

} // namespace filbertvane::io::targets
