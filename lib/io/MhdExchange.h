#ifndef FILBERTVANE_LIB_IO_MHDEXCHANGE_H
#define FILBERTVANE_LIB_IO_MHDEXCHANGE_H

#include "ByteQueue.h"
#include "filbertvane/io/HttpServer.h"
#include <microhttpd.h>

namespace filbertvane::io {

/// @brief One request on a libmicrohttpd connection.
///
/// libmicrohttpd takes a response only after the whole request body (or
/// instead of it), and only while it calls the application or the connection
/// is suspended. `start` therefore records the head; `queue` hands it over at
/// the first permitted moment.
class MhdExchange final : public ServerExchange {
public:
  /// @param OnResume asks the server to run libmicrohttpd soon
  MhdExchange(std::string Path, std::function<void()> OnResume)
      : OnResume(std::move(OnResume)) {
    Head.Path = std::move(Path);
  }

  /// @name ServerExchange
  /// @{
  const RequestHead &request() const override { return Head; }
  void pauseBody(bool Paused) override;
  void start(const ResponseHead &Answer,
             std::optional<std::uint64_t> ContentLength) override;
  std::size_t write(std::string_view Part) override;
  void finish() override;
  void abort() override;
  /// @}

  /// @name Calls of the server
  /// @{
  bool headSeen() const { return Connection != nullptr; }
  /// @brief Takes the head; refuses it with a 4xx when it is not acceptable.
  MHD_Result takeHead(MHD_Connection *From, const char *Method,
                      const char *Version, std::size_t MaxHeadBytes,
                      const HttpServer::Acceptor &Accept);
  /// @brief Takes a part of the body, or its end when `Size` is 0.
  MHD_Result takeBody(const char *Data, std::size_t *Size);
  /// @brief Fills libmicrohttpd's buffer with answer bytes.
  ssize_t read(char *Out, std::size_t Room);
  /// @brief Ends the exchange for its handler; later calls do nothing.
  void close(bool Whole);
  /// @brief The caller closed its connection.
  void drop();
  /// @brief Makes the connection close after this answer.
  void closeAfterAnswer() { LastOnConnection = true; }
  void resume();
  /// @}

private:
  void collectHeaders();
  std::optional<int> headFault(const char *Version,
                               std::size_t MaxHeadBytes) const;
  MHD_Result refuseHead(int Status);
  MHD_Result takeBodyEnd();
  MHD_Result queue();
  MHD_Response *buildResponse();
  bool broken() const { return Gone || Aborted; }
  void suspend();

  std::function<void()> OnResume;
  RequestHead Head;
  MHD_Connection *Connection = nullptr;
  std::unique_ptr<ExchangeHandler> Handler;

  std::optional<std::uint64_t> DeclaredLength;
  std::size_t Drained = 0;
  bool ChunkedBody = false;
  bool BodyPaused = false;
  bool BodyWhole = false;

  ResponseHead Answer;
  std::optional<std::uint64_t> AnswerLength;
  ByteQueue Out;
  bool Started = false;
  bool Queued = false;
  bool Finished = false;
  bool Aborted = false;

  bool Suspended = false;
  bool Gone = false;
  bool LastOnConnection = false;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_LIB_IO_MHDEXCHANGE_H
