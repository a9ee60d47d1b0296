#include "TargetTransfer.h"
#include "../RequestText.h"
#include <fmt/format.h>

namespace filbertvane::io::targets {

bool Transfer::writeHead() {
  const HttpClient::Request &What = Request.What;
  const std::size_t Origin = originLength(What.Url);
  const std::string Path =
      Origin < What.Url.size() ? What.Url.substr(Origin) : "/";
  if (What.Method.empty() || !isPlain(What.Method, false) ||
      !isPlain(Path, false))
    return false;
  std::string Head = fmt::format("{} {} HTTP/1.1\r\n", What.Method, Path);
  if (What.Fields.count("Host") == 0)
    Head += fmt::format("Host: {}\r\n", addressOf(What.Url));
  for (const auto &[Name, Value] : What.Fields) {
    if (isFraming(Name))
      continue;
    if (Name.empty() || !isPlain(Name, false) || !isPlain(Value, true))
      return false;
    Head += fmt::format("{}: {}\r\n", Name, Value);
  }
  const bool StatesEmptyBody =
      What.Method == "POST" || What.Method == "PUT" || What.Method == "PATCH";
  if (!What.ContentLength)
    Head += "Transfer-Encoding: chunked\r\n";
  else if (*What.ContentLength > 0 || StatesEmptyBody)
    Head += fmt::format("Content-Length: {}\r\n", *What.ContentLength);
  Head += "\r\n";
  const std::string Body(Out.front());
  Out.clear();
  Out.append(Head);
  Out.append(Body);
  return true;
}

void Transfer::writeBody(std::string_view Part) {
  if (Part.empty())
    return;
  if (Request.What.ContentLength) {
    Out.append(Part);
    return;
  }
  Out.append(fmt::format("{:x}\r\n", Part.size()));
  Out.append(Part);
  Out.append("\r\n");
}

void Transfer::finishBody() {
  if (BodyFinished)
    return;
  BodyFinished = true;
  if (!Request.What.ContentLength)
    Out.append("0\r\n\r\n");
}

} // namespace filbertvane::io::targets
