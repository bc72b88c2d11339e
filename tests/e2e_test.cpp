/// \file
/// Complete controllers over loopback, with real HTTP and real connections between controllers,
/// against simulations of the state store, the cloud and the workers.
#include <gtest/gtest.h>

#include "app/controller_process.hpp"
#include "config/endpoint.hpp"
#include "net/http_client.hpp"
#include "support/fake_http_servers.hpp"
#include "support/jobs.hpp"
#include "support/loopback.hpp"
#include "support/real_time.hpp"

namespace elmstall::test {
namespace {

class EndToEnd : public ::testing::Test {
 protected:
  static constexpr std::size_t kNodes = 3;

  EndToEnd() : world_(5, 0), state_(io_, world_), cloud_(io_, world_) {
    // Short intervals, because the test runs in real time.
    world_.settings.heartbeat_interval_s = 0.3;
    world_.settings.list_lag_s = 0.2;
    world_.machine_types.front().ready_s = 1;
    world_.external_node_count = kNodes;
    std::vector<std::string> api;
    std::vector<std::string> transport;
    {
      LoopbackAddresses addresses(io_);
      for (std::size_t i = 0; i < kNodes; ++i) {
        api.push_back(addresses.next());
        transport.push_back(addresses.next());
      }
    }
    for (std::size_t i = 0; i < kNodes; ++i) {
      auto settings = world_.settings;
      settings.node = "node-" + std::to_string(i);
      settings.zone = settings.zones[i % 2];
      settings.api_addr = api[i];
      settings.peer_addr = transport[i];
      settings.state_endpoint = "127.0.0.1:" + std::to_string(state_.port());
      settings.cloud_endpoint = "127.0.0.1:" + std::to_string(cloud_.port());
      for (std::size_t j = 0; j < kNodes; ++j) {
        if (j != i)
          settings.peers.push_back(
              {"node-" + std::to_string(j), settings.zones[j % 2], transport[j]});
      }
      settings_.push_back(settings);
      clients_.push_back(
          std::make_unique<net::HttpClient>(io_, config::parse_endpoint(api[i]), 16));
      controllers_.push_back(std::make_unique<app::ControllerProcess>(io_, settings_.back()));
    }
    world_.external_delivery = [this](std::size_t node, net::Request request,
                                      net::Responder respond) {
      clients_[node]->request(request.method, request.path, std::move(request.body), 4,
                              [respond](const net::Reply& reply) {
                                respond({reply.status == 0 ? 503 : reply.status, reply.body, 0});
                              });
    };
  }

  net::Reply send_request(std::size_t node, const std::string& method, const std::string& path,
                          const std::string& body = {}) {
    std::optional<net::Reply> reply;
    clients_[node]->request(method, path, body, 5, [&](net::Reply got) { reply = std::move(got); });
    wait_until(8, [&] { return reply.has_value(); });
    return reply.value_or(net::Reply{});
  }

  bool wait_until(double seconds, const std::function<bool()>& until) {
    const auto end = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(static_cast<long>(seconds * 1000));
    while (!until()) {
      if (std::chrono::steady_clock::now() > end) return false;
      io_.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  std::string submission(int number, std::uint32_t tasks) {
    auto job = array(number, tasks, 0.5);
    job.image_gb = 0;
    world_.register_job(job);
    wire::Packer packer;
    wire::pack_job(packer, job);
    return packer.take();
  }

  bool reaches_state(const std::string& id, wire::JobState state, double seconds) {
    const auto end = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(static_cast<long>(seconds * 1000));
    while (std::chrono::steady_clock::now() < end) {
      const auto reply = send_request(0, "GET", "/api/jobs/" + id);
      if (reply.status == 200 &&
          wire::decode_status(wire::Document::parse(reply.body).root()).state == state)
        return true;
      wait_until(0.2, [] { return false; });
    }
    return false;
  }

  asio::io_context io_;
  World world_;
  RealTime real_time_{io_, world_.loop};
  StateStoreServer state_;
  CloudServer cloud_;
  std::vector<config::Settings> settings_;
  std::vector<std::unique_ptr<net::HttpClient>> clients_;
  std::vector<std::unique_ptr<app::ControllerProcess>> controllers_;
};

TEST_F(EndToEnd, JobsFinishBeforeAndAfterTwoOfThreeControllersStop) {
  ASSERT_TRUE(wait_until(10, [&] { return send_request(0, "GET", "/ready").status == 200; }));
  EXPECT_EQ(send_request(1, "POST", "/api/jobs", submission(1, 4)).status, 201);
  EXPECT_EQ(send_request(2, "POST", "/api/jobs", submission(1, 4)).status, 200);
  EXPECT_EQ(send_request(0, "POST", "/api/jobs", "rubbish").status, 400);
  EXPECT_EQ(send_request(0, "GET", "/api/jobs/job-9").status, 404);
  EXPECT_EQ(send_request(0, "GET", "/nowhere").status, 404);
  EXPECT_EQ(send_request(0, "GET", "/api/jobs").status, 405);
  EXPECT_TRUE(reaches_state("job-1", wire::JobState::done, 45));

  // Two of the three controllers stop. The remaining one must accept and finish jobs.
  controllers_[2].reset();
  controllers_[1].reset();
  bool accepted = false;
  for (int attempts = 0; attempts < 10 && !accepted; ++attempts)
    accepted = send_request(0, "POST", "/api/jobs", submission(2, 2)).status <= 201;
  EXPECT_TRUE(accepted);
  EXPECT_TRUE(reaches_state("job-2", wire::JobState::done, 45));
  EXPECT_EQ(send_request(0, "POST", "/api/jobs/job-2/cancel").status, 200);
  EXPECT_TRUE(reaches_state("job-2", wire::JobState::done, 5))
      << "a finished job can't be cancelled";
  EXPECT_EQ(world_.rules.first_violation(), "");
}

}  // namespace
}  // namespace elmstall::test
