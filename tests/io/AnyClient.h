#ifndef FILBERTVANE_TESTS_IO_ANYCLIENT_H
#define FILBERTVANE_TESTS_IO_ANYCLIENT_H

#include "../../lib/io/targets/TargetClient.h"
#include "HttpFixture.h"

namespace filbertvane::test {

enum class ClientKind { ForNodes, ForTargets };

inline constexpr ClientKind BothClients[] = {ClientKind::ForNodes,
                                             ClientKind::ForTargets};

/// @brief One of the two clients, which promise the same about broken answers.
class AnyClient {
public:
  AnyClient(io::EventLoop &Loop, ClientKind Kind) {
    if (Kind == ClientKind::ForNodes) {
      ForNodes = io::HttpClient::create(Loop, {});
      return;
    }
    io::targets::TargetClient::Options Settings;
    Settings.AnsweredRequest = [](const io::ResponseHead &) {
      return std::optional<std::string>();
    };
    ForTargets =
        std::make_unique<io::targets::TargetClient>(Loop, std::move(Settings));
  }

  std::unique_ptr<io::ClientRequest> send(io::HttpClient::Request What,
                                          io::ClientHandler &Handler) {
    if (ForNodes)
      return ForNodes->send(std::move(What), Handler);
    return ForTargets->send({std::move(What), std::to_string(++Requests)},
                            Handler);
  }

private:
  std::unique_ptr<io::HttpClient> ForNodes;
  std::unique_ptr<io::targets::TargetClient> ForTargets;
  std::size_t Requests = 0;
};

} // namespace filbertvane::test

#endif // FILBERTVANE_TESTS_IO_ANYCLIENT_H
