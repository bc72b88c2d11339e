/// @file
/// The interface of the transport for messages between controllers.
///
/// Delivery is best effort: any message may be lost, and no rule of docs/design.md requires one
/// to arrive. There is no acknowledgement, and errors are not reported.
#pragma once

#include <functional>
#include <string>

#include "peer/messages.hpp"

namespace elmstall::peer {

/// Sends messages to the other controllers. All calls are made on the event loop's thread.
class Transport {
 public:
  virtual ~Transport() = default;

  /// Queues a message for every other controller. Nothing is sent before `flush`.
  virtual void broadcast(const Message& message) = 0;

  /// Queues a message for the controller with this name; for an unknown name it does nothing.
  /// Nothing is sent before `flush`.
  virtual void send(const std::string& node, const Message& message) = 0;

  /// Sends what is queued. To be called after each batch of commands, so that the messages of one
  /// batch share packets.
  virtual void flush() = 0;
};

/// Called on the event loop's thread for each message that arrives.
using Receiver = std::function<void(Message)>;

}  // namespace elmstall::peer
