#include "controller/peer_outbox.hpp"

#include "config/constants.hpp"

namespace elmstall::controller {

void PeerOutbox::broadcast(const peer::Message& message) {
  transport_->broadcast(message);
  urgent_queued_ = true;
}

void PeerOutbox::send_collected(const std::string& node, const peer::Message& message) {
  transport_->send(node, message);
  collected_queued_ = true;
}

void PeerOutbox::flush() {
  const double now = loop_.now();
  if (now < next_flush_ && !urgent_queued_) {
    // The timer's command runs in a batch of its own, after which this function is called again.
    if (collected_queued_) flush_timer_.after(next_flush_ - now, [] {});
    return;
  }
  if (collected_queued_) next_flush_ = now + constants::kForwardInterval;
  urgent_queued_ = false;
  collected_queued_ = false;
  if (transport_ != nullptr) transport_->flush();
}

}  // namespace elmstall::controller
