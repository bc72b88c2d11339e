// Messages of this node to other controllers. Forwarded heartbeats and their replies
// are collected for a moment and written together, since each packet costs a small
// machine more than the message in it. Everything else is written at once.
#pragma once

#include <string>

#include "peer/transport.hpp"
#include "runtime/coalescing_timer.hpp"

namespace elmstall::controller {

class PeerOutbox {
 public:
  PeerOutbox(runtime::EventLoop& event_loop, runtime::CommandQueue& queue)
      : loop_(event_loop), flush_timer_(event_loop, queue) {}

  /// To be called once, before any message is sent.
  void connect(peer::Transport& transport) { transport_ = &transport; }

  /// Sends to all peers with the present batch.
  void broadcast(const peer::Message& message);
  /// Sends to one peer, at the latest `constants::kForwardInterval` after the last
  /// such message.
  void send_collected(const std::string& node, const peer::Message& message);
  /// To be called after each batch of the command queue.
  void flush();

 private:
  runtime::EventLoop& loop_;
  peer::Transport* transport_ = nullptr;
  bool urgent_queued_ = false;
  bool collected_queued_ = false;
  double next_flush_ = 0;
  runtime::CoalescingTimer flush_timer_;
};

}  // namespace elmstall::controller
