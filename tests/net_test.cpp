/// \file
/// The HTTP server and client over loopback connections.
#include <gtest/gtest.h>

#include <asio.hpp>
#include <optional>

#include "config/constants.hpp"
#include "config/endpoint.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace elmstall::net {
namespace {

class Loopback : public ::testing::Test {
 protected:
  Loopback()
      : server_(io_, config::parse_endpoint("127.0.0.1:0"), {4, constants::kMaxBodyBytes, 2},
                [this](Request request, Responder respond) {
                  last_request_ = request;
                  ++served_;
                  Response response{200, request.body, 0};
                  response.close_over_soft_limit = request.path == "/yields";
                  respond(std::move(response));
                }) {}

  /// Sends the bytes over a new connection, and returns what the server sends back within 200 ms.
  std::string send_raw(const std::string& bytes) {
    asio::ip::tcp::socket socket(io_);
    socket.connect({asio::ip::make_address("127.0.0.1"), server_.port()});
    asio::write(socket, asio::buffer(bytes));
    std::string answer;
    std::array<char, 4096> chunk{};
    std::function<void()> read = [&] {
      socket.async_read_some(asio::buffer(chunk), [&](asio::error_code error, std::size_t size) {
        answer.append(chunk.data(), size);
        if (!error) read();
      });
    };
    read();
    io_.run_for(std::chrono::milliseconds(200));
    io_.restart();
    socket.close();
    io_.run_for(std::chrono::milliseconds(20));
    io_.restart();
    return answer;
  }

  asio::io_context io_;
  HttpServer server_;
  std::optional<Request> last_request_;
  int served_ = 0;
};

TEST_F(Loopback, ServesAndKeepsTheConnection) {
  HttpClient client(io_, {asio::ip::make_address("127.0.0.1"), server_.port()}, 1);
  std::vector<Reply> replies;
  for (int i = 0; i < 3; ++i)
    client.request("POST", "/x", "body" + std::to_string(i), 2,
                   [&](Reply reply) { replies.push_back(std::move(reply)); });
  io_.run_for(std::chrono::milliseconds(300));
  ASSERT_EQ(replies.size(), 3U);
  EXPECT_EQ(replies[2].status, 200);
  EXPECT_EQ(replies[2].body, "body2");
  EXPECT_EQ(server_.connections(), 1U);
}

TEST_F(Loopback, RejectsMalformedAndOversizedRequests) {
  EXPECT_NE(send_raw("rubbish\r\n\r\n").find(" 400 "), std::string::npos);
  EXPECT_NE(send_raw("POST /x HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n").find(" 413 "),
            std::string::npos);
  EXPECT_NE(send_raw("GET /" + std::string(20'000, 'a') + " HTTP/1.1\r\n\r\n").find(" 431 "),
            std::string::npos);
  EXPECT_NE(send_raw("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n").find(" 400 "),
            std::string::npos);
  EXPECT_EQ(served_, 0);
  EXPECT_NE(send_raw("GET /ok HTTP/1.1\r\n\r\n").find(" 200 "), std::string::npos);
}

TEST_F(Loopback, ChunkedBodySizeIsBounded) {
  std::string bytes = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 20; ++i) bytes += "1000\r\n" + std::string(4096, 'x') + "\r\n";
  EXPECT_NE(send_raw(bytes).find(" 413 "), std::string::npos);
}

TEST_F(Loopback, ConnectionsAreBounded) {
  std::vector<asio::ip::tcp::socket> sockets;
  for (int i = 0; i < 10; ++i) {
    sockets.emplace_back(io_);
    sockets.back().connect({asio::ip::make_address("127.0.0.1"), server_.port()});
  }
  io_.run_for(std::chrono::milliseconds(100));
  EXPECT_EQ(server_.connections(), 4U);
}

/// Guards against a fault in which idle connections and incomplete requests used up all
/// connections, so that later clients, including the load balancer's health checks, were not
/// served.
TEST_F(Loopback, IdleAndIncompleteConnectionsDoNotBlockNewRequests) {
  std::vector<asio::ip::tcp::socket> sockets;
  for (int i = 0; i < 12; ++i) {
    sockets.emplace_back(io_);
    sockets.back().connect({asio::ip::make_address("127.0.0.1"), server_.port()});
    if (i % 2 == 0)
      asio::write(sockets.back(), asio::buffer(std::string("POST /x HTTP/1.1\r\nContent-")));
    io_.run_for(std::chrono::milliseconds(5));
    io_.restart();
  }
  EXPECT_NE(send_raw("GET /ready HTTP/1.1\r\n\r\n").find(" 200 "), std::string::npos);
  EXPECT_LE(server_.connections(), 4U);
}

/// The deadlines of all connections are checked together, once a second. A connection with an
/// incomplete request is closed after its deadline, and an idle one stays open.
TEST_F(Loopback, IncompleteRequestsAreClosedAfterTheReadTimeout) {
  const auto connect = [this] {
    asio::ip::tcp::socket socket(io_);
    socket.connect({asio::ip::make_address("127.0.0.1"), server_.port()});
    return socket;
  };
  const auto idle = connect();
  auto half_sent = connect();
  asio::write(half_sent, asio::buffer(std::string("POST /x HTTP/1.1\r\nContent-")));
  const auto start = std::chrono::steady_clock::now();
  const auto elapsed_s = [&] {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  };
  const auto run = [this] {
    io_.run_for(std::chrono::milliseconds(50));
    io_.restart();
  };
  run();
  ASSERT_EQ(server_.connections(), 2U);
  const double latest = constants::kRequestReadTimeout + 2 * constants::kDeadlineCheckInterval;
  while (server_.connections() == 2 && elapsed_s() < latest) run();
  EXPECT_EQ(server_.connections(), 1U) << "only the idle connection is left";
  EXPECT_GE(elapsed_s(), constants::kRequestReadTimeout);
}

/// The part of a response that the socket does not accept at once is sent later, complete and in
/// order.
TEST(HttpServer, ResponseLargerThanTheSocketBufferIsSentInFull) {
  asio::io_context io;
  std::string body(24 * 1024 * 1024, 'x');
  for (std::size_t i = 0; i < body.size(); i += 1000) body[i] = static_cast<char>('a' + i % 26);
  HttpServer server(io, config::parse_endpoint("127.0.0.1:0"), {4, constants::kMaxBodyBytes, 4},
                    [&body](const Request&, const Responder& respond) {
                      respond({200, body, 0});
                    });
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  // The client reads nothing for 100 ms, so that the socket's buffer fills up.
  io.run_for(std::chrono::milliseconds(100));
  io.restart();
  std::string answer;
  std::vector<char> chunk(1 << 16);
  std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(chunk), [&](asio::error_code error, std::size_t size) {
      answer.append(chunk.data(), size);
      if (!error && answer.size() < body.size() + 1) read();
    });
  };
  read();
  const auto received = [&] {
    const auto head = answer.find("\r\n\r\n");
    return head == std::string::npos ? std::string{} : answer.substr(head + 4);
  };
  for (int i = 0; i < 100 && answer.size() < body.size(); ++i) {
    io.run_for(std::chrono::milliseconds(50));
    io.restart();
  }
  io.run_for(std::chrono::milliseconds(100));
  EXPECT_TRUE(received() == body);
}

/// With more workers than connections, each worker gets its response, and its connection is closed
/// to make room for the next one.
TEST_F(Loopback, YieldingResponsesCloseTheConnectionWhenConnectionsRunShort) {
  EXPECT_EQ(send_raw("GET /yields HTTP/1.1\r\n\r\n").find("Connection: close"), std::string::npos)
      << "few connections are open";
  std::vector<asio::ip::tcp::socket> sockets;
  for (int i = 0; i < 2; ++i) {
    sockets.emplace_back(io_);
    sockets.back().connect({asio::ip::make_address("127.0.0.1"), server_.port()});
  }
  io_.run_for(std::chrono::milliseconds(20));
  io_.restart();
  for (int i = 0; i < 5; ++i) {
    const auto answer = send_raw("GET /yields HTTP/1.1\r\n\r\n");
    EXPECT_NE(answer.find(" 200 "), std::string::npos);
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  }
  EXPECT_EQ(send_raw("GET /stays HTTP/1.1\r\n\r\n").find("Connection: close"), std::string::npos);
  EXPECT_EQ(server_.connections(), 2U);
}

TEST_F(Loopback, ClientReportsRequestsThatWereNeverSent) {
  const auto port = server_.port();
  HttpClient client(
      io_, {asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port == 1 ? 2 : 1)}, 1);
  std::optional<Reply> reply;
  client.request("GET", "/", {}, 1, [&](Reply got) { reply = std::move(got); });
  io_.run_for(std::chrono::milliseconds(300));
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->status, 0);
  EXPECT_TRUE(reply->never_sent);
}

TEST(HttpClient, SilentServerIsReportedAsNoResponse) {
  asio::io_context io;
  asio::ip::tcp::acceptor silent(io, {asio::ip::make_address("127.0.0.1"), 0});
  HttpClient client(io, silent.local_endpoint(), 1);
  std::optional<Reply> reply;
  client.request("GET", "/", {}, 0.2, [&](Reply got) { reply = std::move(got); });
  io.run_for(std::chrono::seconds(2));
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->status, 0);
  EXPECT_FALSE(reply->never_sent);  // it may have been executed
}

TEST(Endpoint, InvalidEndpointsAreRejected) {
  EXPECT_THROW((void)config::parse_endpoint("10.0.0.1"), std::invalid_argument);
  EXPECT_THROW((void)config::parse_endpoint("10.0.0.1:x"), std::invalid_argument);
  EXPECT_THROW((void)config::parse_endpoint("nowhere:80"), std::invalid_argument);
  EXPECT_EQ(config::parse_endpoint("10.0.0.1:80").port(), 80);
}

}  // namespace
}  // namespace elmstall::net
