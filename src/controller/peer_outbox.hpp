/// @file
/// Messages of this node to other controllers. Forwarded heartbeats and their replies
/// are collected for a moment and written together, because on a small machine a packet costs more
/// than the message in it. Everything else is written at once. Runs on the controller's event loop.
#pragma once

#include <string>

#include "peer/transport.hpp"
#include "runtime/coalescing_timer.hpp"

namespace elmstall::controller {

/// Queues messages to other controllers and has them written.
class PeerOutbox {
 public:
  /// Both arguments have to outlive the outbox.
  PeerOutbox(runtime::EventLoop& event_loop, runtime::CommandQueue& queue)
      : loop_(event_loop), flush_timer_(event_loop, queue) {}

  /// To be called once, before any message is sent.
  void connect(peer::Transport& transport) { transport_ = &transport; }

  /// Sends to all peers, at the end of the present batch of the command queue.
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
