/// \file
/// The network between the controllers of the test world.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "peer/transport.hpp"

namespace elmstall::test {

class Processes;
class World;

/// Number of messages and writes between the controllers so far.
struct PeerTraffic {
  std::size_t messages = 0;
  std::size_t flushes = 0;  ///< writes in which the messages were sent
};

/// Sends the messages of one node to the others, in their real encoding.
class FakeTransport : public peer::Transport {
 public:
  /// `self`: index of the node that sends.
  FakeTransport(World& world, Processes& processes, std::size_t self)
      : world_(world), processes_(processes), self_(self) {}
  void broadcast(const peer::Message& message) override;
  void send(const std::string& node, const peer::Message& message) override;
  void flush() override;

 private:
  struct Queued {
    std::size_t to = 0;
    peer::Message message;
  };
  void deliver(std::size_t to, const peer::Message& message);

  World& world_;
  Processes& processes_;
  std::size_t self_;
  std::vector<Queued> queued_;
};

}  // namespace elmstall::test
