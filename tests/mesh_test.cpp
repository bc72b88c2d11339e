// Controllers' own connections over loopback.
#include <gtest/gtest.h>

#include <asio.hpp>

#include "mesh/tcp_mesh.hpp"

namespace elmstall::mesh {
namespace {

/// Whatever comes in on a controller's port, on however many connections:
/// rubbish ends its own connection, and those that know the way are heard.
TEST(Mesh, BadMessagesEndTheirConnectionOnly) {
  asio::io_context io;
  asio::ip::tcp::acceptor probe(io, {asio::ip::make_address("127.0.0.1"), 0});
  const auto here = probe.local_endpoint();
  probe.close();
  std::vector<Message> heard;
  TcpMesh mesh(io, here, {{"other", "", "127.0.0.1:1"}}, [&](Message message) { heard.push_back(std::move(message)); });
  const auto run = [&] {
    io.run_for(std::chrono::milliseconds(30));
    io.restart();
  };
  const std::vector<std::string> rubbish = {std::string("\xff\xff\xff\xff", 4), std::string("\x03\x00\x00\x00xyz", 7), "GET / HTTP/1.1\r\n\r\n", std::string("\x10\x00", 2)};
  std::vector<asio::ip::tcp::socket> sockets;
  for (int i = 0; i < 60; ++i) {
    sockets.emplace_back(io).connect(here);
    asio::error_code ignored;
    asio::write(sockets.back(), asio::buffer(rubbish[static_cast<std::size_t>(i) % rubbish.size()]), ignored);
    if (i % 8 == 0) run();
  }
  run();
  EXPECT_TRUE(heard.empty());
  asio::ip::tcp::socket good(io);
  good.connect(here);
  const auto body = encode(Beat{"other", 7, "other", true, true, 12, 1.5});
  std::string frame(4, '\0');
  frame[0] = static_cast<char>(body.size());
  asio::write(good, asio::buffer(frame + body));
  run();
  ASSERT_EQ(heard.size(), 1U);
  EXPECT_EQ(std::get<Beat>(heard.front()).revision, 12U);
  // The first of the bad ones was closed by the other side.
  asio::error_code error;
  char byte = 0;
  sockets.front().non_blocking(true);
  sockets.front().receive(asio::buffer(&byte, 1), 0, error);
  EXPECT_NE(error, asio::error::would_block);
}

}  // namespace
}  // namespace elmstall::mesh
