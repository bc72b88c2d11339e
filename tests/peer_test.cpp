/// \file
/// The connections between controllers, over loopback.
#include <gtest/gtest.h>

#include <asio.hpp>

#include "peer/frames.hpp"
#include "peer/tcp_transport.hpp"

namespace elmstall::peer {
namespace {

/// Invalid bytes on any number of connections to a controller's port close only these connections.
/// Valid messages on other connections are still received.
TEST(Transport, InvalidMessagesCloseOnlyTheirOwnConnection) {
  asio::io_context io;
  asio::ip::tcp::acceptor probe(io, {asio::ip::make_address("127.0.0.1"), 0});
  const auto receiver_endpoint = probe.local_endpoint();
  probe.close();
  std::vector<Message> received;
  TcpTransport transport(io, receiver_endpoint, {{"other", "", "127.0.0.1:1"}},
                         [&](Message message) { received.push_back(std::move(message)); });
  const auto run = [&] {
    io.run_for(std::chrono::milliseconds(30));
    io.restart();
  };
  const std::vector<std::string> invalid_messages = {
      std::string("\xff\xff\xff\xff", 4), std::string("\x03\x00\x00\x00xyz", 7),
      "GET / HTTP/1.1\r\n\r\n", std::string("\x10\x00", 2)};
  std::vector<asio::ip::tcp::socket> sockets;
  for (int i = 0; i < 60; ++i) {
    sockets.emplace_back(io).connect(receiver_endpoint);
    asio::error_code ignored;
    asio::write(
        sockets.back(),
        asio::buffer(invalid_messages[static_cast<std::size_t>(i) % invalid_messages.size()]),
        ignored);
    if (i % 8 == 0) run();
  }
  run();
  EXPECT_TRUE(received.empty());
  asio::ip::tcp::socket valid_socket(io);
  valid_socket.connect(receiver_endpoint);
  const auto body = encode(Heartbeat{"other", 7, "other", true, true, 12, 1.5});
  std::string frame(4, '\0');
  frame[0] = static_cast<char>(body.size());
  asio::write(valid_socket, asio::buffer(frame + body));
  run();
  ASSERT_EQ(received.size(), 1U);
  EXPECT_EQ(std::get<Heartbeat>(received.front()).revision, 12U);
  // The transport has closed the first connection with invalid bytes.
  asio::error_code error;
  char byte = 0;
  sockets.front().non_blocking(true);
  sockets.front().receive(asio::buffer(&byte, 1), 0, error);
  EXPECT_NE(error, asio::error::would_block);
}

/// Many messages in one flush, and one message that arrives byte by byte.
TEST(Transport, MessagesArriveWholeAndInOrder) {
  asio::io_context io;
  const auto free_port = [&io] {
    asio::ip::tcp::acceptor probe(io, {asio::ip::make_address("127.0.0.1"), 0});
    return probe.local_endpoint();
  };
  const auto receiver_endpoint = free_port();
  const auto sender_endpoint = free_port();
  std::vector<std::uint64_t> received;
  std::size_t longest = 0;
  TcpTransport receiver(io, receiver_endpoint,
                        {{"sender", "", "127.0.0.1:" + std::to_string(sender_endpoint.port())}},
                        [&](Message message) {
                          const auto& reply = std::get<ForwardedReply>(message);
                          received.push_back(reply.id);
                          longest = std::max(longest, reply.body.size());
                        });
  TcpTransport sender(io, sender_endpoint,
                      {{"receiver", "", "127.0.0.1:" + std::to_string(receiver_endpoint.port())}},
                      [](const Message&) {});
  for (std::uint64_t id = 0; id < 300; ++id)
    sender.send("receiver", ForwardedReply{id, 200, std::string(id % 7 == 0 ? 3000 : 20, 'x')});
  sender.flush();
  for (int i = 0; i < 100 && received.size() < 300; ++i) {
    io.run_for(std::chrono::milliseconds(20));
    io.restart();
  }
  ASSERT_EQ(received.size(), 300U);
  for (std::uint64_t id = 0; id < 300; ++id) ASSERT_EQ(received[id], id);
  EXPECT_EQ(longest, 3000U);
  // One message, sent byte by byte.
  const auto body = encode(ForwardedReply{77, 200, "slow"});
  std::string bytes(4, '\0');
  bytes[0] = static_cast<char>(body.size());
  asio::ip::tcp::socket slow_socket(io);
  slow_socket.connect(receiver_endpoint);
  for (const char byte : bytes + body) {
    asio::write(slow_socket, asio::buffer(&byte, 1));
    io.run_for(std::chrono::milliseconds(2));
    io.restart();
  }
  ASSERT_EQ(received.size(), 301U);
  EXPECT_EQ(received.back(), 77U);
}

/// The messages are complete and in order for any size of the received pieces. A frame whose length
/// prefix is too large is an error.
TEST(FrameReader, ReassemblesMessagesFromPiecesOfAnySize) {
  const std::vector<std::string> messages = {"", "a", std::string(300, 'b'),
                                             std::string(70'000, 'c'), "last"};
  std::string stream;
  for (const auto& message : messages) stream += frame(message);
  for (const std::size_t piece : {1UL, 3UL, 7UL, 1000UL, stream.size()}) {
    FrameReader reader;
    std::vector<std::string> read;
    for (std::size_t at = 0; at < stream.size(); at += piece) {
      reader.append(std::string_view(stream).substr(at, piece));
      while (const auto message = reader.next()) read.emplace_back(*message);
    }
    EXPECT_EQ(read, messages) << piece;
  }
  FrameReader reader;
  reader.append(std::string("\xff\xff\xff\x7f", 4));
  EXPECT_THROW((void)reader.next(), FrameTooLarge);
}

}  // namespace
}  // namespace elmstall::peer
