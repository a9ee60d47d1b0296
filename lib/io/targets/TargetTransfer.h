#ifndef FILBERTVANE_LIB_IO_TARGETS_TARGETTRANSFER_H
#define FILBERTVANE_LIB_IO_TARGETS_TARGETTRANSFER_H

#include "../ByteQueue.h"
#include "filbertvane/io/HttpClient.h"

namespace filbertvane::io::targets {

class TargetConnection;

/// @brief One request to a target.
struct TargetRequest {
  HttpClient::Request Message;
  /// Id that the target repeats in its answer.
  std::string Id;
};

/// @brief State of one request that its client and its connection share.
struct Transfer {
  Transfer(TargetRequest Request, ClientHandler &Receiver)
      : Request(std::move(Request)), Handler(&Receiver),
        BodyFinished(this->Request.Message.ContentLength == 0) {}

  TargetRequest Request;
  /// Null once the request is cancelled or over.
  ClientHandler *Handler;
  /// Null before the request is handed over and after its end.
  TargetConnection *Connection = nullptr;
  /// Bytes to be sent, framed.
  ByteQueue Out;
  bool BodyFinished;
  bool AnswerHeld = false;
  /// Any byte was sent.
  bool Sent = false;
  /// Any byte of an answer arrived.
  bool AnswerSeen = false;
  core::TimePoint HandedOverAt{};
  std::unique_ptr<Timer> Deadline;

  /// @brief Puts the head in front of the body.
  /// @return false when the request cannot be expressed in HTTP
  bool writeHead();
  void writeBody(std::string_view Block);
  void finishBody();
  bool isBodySent() const { return BodyFinished && Out.empty(); }
};

} // namespace filbertvane::io::targets

#endif // FILBERTVANE_LIB_IO_TARGETS_TARGETTRANSFER_H
