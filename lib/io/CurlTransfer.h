#ifndef FILBERTVANE_LIB_IO_CURLTRANSFER_H
#define FILBERTVANE_LIB_IO_CURLTRANSFER_H

#include "ByteQueue.h"
#include "filbertvane/io/HttpClient.h"
#include <curl/curl.h>
#include <functional>

namespace filbertvane::io {

/// @brief One client request and its libcurl handle.
class CurlTransfer {
public:
  using TurnOverCall = std::function<void(CurlTransfer &)>;
  /// @param OnTurnOver is called when the body is held back so that other
  ///        transfers have their turn
  CurlTransfer(CURL *Easy, HttpClient::Request What, ClientHandler &Receiver,
               TurnOverCall OnTurnOver);
  ~CurlTransfer();
  CurlTransfer(const CurlTransfer &) = delete;
  CurlTransfer &operator=(const CurlTransfer &) = delete;

  /// @brief Sets all options of the handle.
  /// @param MaxAge connections older than this are not reused; none for any
  /// @return false when the request cannot be expressed in HTTP
  bool prepare(const HttpClient::Options &Settings, core::TimePoint Now,
               std::optional<core::Seconds> MaxAge);

  /// @brief Translates libcurl's result.
  ClientEnd endOf(CURLcode Code) const;

  /// @brief Lets the body be read on after other transfers had their turn.
  void startTurn();
  /// @brief Continues what is neither held back nor out of data.
  void applyPauses();

  /// @name State shared with the client
  /// @{
  CURL *Easy;
  HttpClient::Request What;
  /// Null once the request is cancelled or over.
  ClientHandler *Handler;
  ByteQueue Out;
  bool BodyFinished = false;
  bool AnswerHeld = false;
  bool Added = false;
  /// Time at which the request was handed over to a connection.
  core::TimePoint HandedOverAt{};
  /// Whether any byte of the answer arrived.
  bool AnswerSeen = false;
  /// @}

  /// @brief `ip:port` part of the URL.
  std::string address() const;

private:
  /// @name Calls of libcurl
  /// @{
  static std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                              void *Self);
  static std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                            void *Self);
  static std::size_t onRead(char *Data, std::size_t Size, std::size_t Count,
                            void *Self);
  static int onHandOver(void *Self, char *, char *, int, int);
  static int onDebug(CURL *, curl_infotype Type, char *, std::size_t Size,
                     void *Self);
  static int onProgress(void *Self, curl_off_t, curl_off_t, curl_off_t,
                        curl_off_t);
  /// @}

  bool takeHeaderLine(std::string_view Line);
  bool buildHeaders();
  void setMethod();
  bool wholeLengthKnown() const;
  bool hasEndlessFraming() const;

  TurnOverCall OnTurnOver;
  curl_slist *Lines = nullptr;
  ResponseHead Head;
  bool HeadDone = false;
  bool SendIdle = false;
  bool ReceiveIdle = false;
  unsigned HandOvers = 0;
  std::size_t HeaderBytes = 0;
  /// Body with the framing of its chunks.
  std::uint64_t ReceivedBytes = 0;
  std::uint64_t BodyBytes = 0;
  std::size_t TurnWrites = 0;
  std::size_t TurnBytes = 0;
  bool TurnOver = false;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_LIB_IO_CURLTRANSFER_H
