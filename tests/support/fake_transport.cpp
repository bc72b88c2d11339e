#include "support/fake_transport.hpp"

#include <utility>

#include "support/world.hpp"

namespace elmstall::test {

void FakeTransport::broadcast(const peer::Message& message) {
  for (std::size_t i = 0; i < processes_.count(); ++i) {
    if (i != self_) queued_.push_back({i, message});
  }
}

void FakeTransport::send(const std::string& node, const peer::Message& message) {
  queued_.push_back({node_index(node), message});
}

void FakeTransport::flush() {
  if (queued_.empty()) return;
  ++world_.peer_traffic.flushes;
  world_.peer_traffic.messages += queued_.size();
  for (const auto& [to, message] : std::exchange(queued_, {})) deliver(to, message);
}

void FakeTransport::deliver(std::size_t to, const peer::Message& message) {
  if (!world_.network.peers_connected(self_, to)) return;
  if (!world_.reachable(to, processes_.at(self_).settings.zone)) return;
  // The transport may be destroyed before the message arrives; the processes outlive it.
  const auto arrive = [to, bytes = peer::encode(message), &processes = processes_] {
    if (processes.at(to).alive()) processes.at(to).receive(bytes);
  };
  world_.loop.after(0.002, arrive);
  world_.message_copies.repeat(arrive);
}

}  // namespace elmstall::test
