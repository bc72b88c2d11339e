// Messages between controllers. None is relied upon: all may be lost.
#pragma once

#include <functional>
#include <string>

#include "peer/messages.hpp"

namespace elmstall::peer {

class Transport {
 public:
  virtual ~Transport() = default;
  /// Both only queue the message; `flush` sends what is queued.
  virtual void broadcast(const Message& message) = 0;
  virtual void send(const std::string& node, const Message& message) = 0;
  /// To be called after each batch of commands.
  virtual void flush() = 0;
};

using Receiver = std::function<void(Message)>;

}  // namespace elmstall::peer
