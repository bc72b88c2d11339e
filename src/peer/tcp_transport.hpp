/// @file
/// The transport between controllers over TCP. Each controller keeps one connection to every other
/// controller, to which it only writes; it receives on the connections that the others open.
/// Each frame holds one message.
#pragma once

#include <asio.hpp>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "config/settings.hpp"
#include "peer/transport.hpp"

namespace elmstall::peer {

/// Runs on the thread of the io_context, which must outlive this object.
///
/// A message is lost when its connection fails, or when the receiver reads so slowly that the queue
/// for it exceeds `constants::kMaxPeerMessageBytes`. A connection on which a malformed message
/// arrives is closed, and the error is logged.
class TcpTransport : public Transport {
 public:
  /// Begins to listen at once; connects to a peer once there is something to send to it. Throws
  /// std::system_error when the address to listen on is not available, and std::invalid_argument
  /// when the address of a peer can't be parsed.
  TcpTransport(asio::io_context& io, const asio::ip::tcp::endpoint& listen,
               const std::vector<config::Peer>& peers, Receiver receiver);
  /// Closes all connections. Messages that had been read from a socket before may still be passed
  /// to the receiver when the event loop runs on; after that there are none.
  ~TcpTransport() override;
  TcpTransport(const TcpTransport&) = delete;
  TcpTransport& operator=(const TcpTransport&) = delete;

  void broadcast(const Message& message) override;
  void send(const std::string& node, const Message& message) override;
  void flush() override;

 private:
  class Outgoing;
  class Incoming;
  /// State that the transport shares with its incoming connections, which may outlive it briefly.
  struct Shared {
    Receiver receiver;
    std::unordered_set<Incoming*> incoming;
    std::size_t max_incoming = 0;
    bool transport_destroyed = false;
  };
  void accept();

  std::shared_ptr<Shared> shared_;
  asio::ip::tcp::acceptor acceptor_;
  std::map<std::string, std::shared_ptr<Outgoing>> peers_;  ///< by name of the controller
};

}  // namespace elmstall::peer
