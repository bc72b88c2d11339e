// Transport over TCP: each node keeps one connection to every other node and only
// writes to it; frames hold one cereal message each.
#pragma once

#include <asio.hpp>
#include <map>
#include <memory>
#include <unordered_set>
#include <vector>

#include "config/settings.hpp"
#include "peer/transport.hpp"

namespace elmstall::peer {

class TcpTransport : public Transport {
 public:
  TcpTransport(asio::io_context& io, const asio::ip::tcp::endpoint& listen,
               const std::vector<config::Peer>& peers, Receiver receiver);
  ~TcpTransport() override;

  void broadcast(const Message& message) override;
  void send(const std::string& node, const Message& message) override;
  void flush() override;

 private:
  class Outgoing;
  class Incoming;
  struct Shared {
    Receiver receiver;
    std::unordered_set<Incoming*> incoming;
    std::size_t max_incoming = 0;
    bool closed = false;
  };
  void accept();

  std::shared_ptr<Shared> shared_;
  asio::ip::tcp::acceptor acceptor_;
  std::map<std::string, std::shared_ptr<Outgoing>> peers_;
};

}  // namespace elmstall::peer
