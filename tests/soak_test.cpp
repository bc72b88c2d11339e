/// \file
/// Tests of the soak test: its plan, command line, proxy and controller processes.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <thread>

#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "soak/controller_child.hpp"
#include "soak/options.hpp"
#include "soak/plan.hpp"
#include "soak/tcp_proxy.hpp"

namespace elmstall::soak {
namespace {

PlanInput input(unsigned seed) {
  const auto& kinds = all_fault_kinds();
  return {seed, 5, 100, 4, {kinds.begin(), kinds.end()}};
}

TEST(SoakPlan, ASeedDrawsTheSamePlan) {
  EXPECT_EQ(describe(draw_plan(input(7))), describe(draw_plan(input(7))));
  EXPECT_NE(describe(draw_plan(input(7))), describe(draw_plan(input(8))));
}

TEST(SoakPlan, FaultsOverlapAndLieWithinTheirBounds) {
  std::set<FaultKind> drawn;
  std::size_t overlaps = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    const auto plan = draw_plan(input(seed));
    for (std::size_t i = 0; i < plan.size(); ++i) {
      drawn.insert(plan[i].kind);
      EXPECT_TRUE(plan[i].start_s >= 5 && plan[i].start_s < 100);
      EXPECT_LT(plan[i].node, 4U);
      EXPECT_LT(plan[i].peer, 4U);
      EXPECT_NE(plan[i].node, plan[i].peer);
      overlaps += i > 0 && plan[i].start_s < plan[i - 1].start_s + plan[i - 1].duration_s;
    }
  }
  EXPECT_EQ(drawn.size(), all_fault_kinds().size());
  EXPECT_GT(overlaps, 100U);
}

TEST(SoakPlan, DrawsOnlyTheRequestedKinds) {
  auto only = input(1);
  only.kinds = {FaultKind::kill, FaultKind::late};
  for (const auto& fault : draw_plan(only)) EXPECT_TRUE(only.kinds.contains(fault.kind));
}

TEST(SoakPlan, KindsHaveNames) {
  for (const auto kind : all_fault_kinds()) EXPECT_EQ(parse_fault_kind(to_text(kind)), kind);
  EXPECT_FALSE(parse_fault_kind("rubbish"));
}

CommandLine parse(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), "elmstall_soak");
  std::vector<char*> pointers;
  for (auto& argument : arguments) pointers.push_back(argument.data());
  return parse_command_line(static_cast<int>(pointers.size()), pointers.data());
}

TEST(SoakOptions, InvalidOptionsExitWithCode2) {
  EXPECT_EQ(parse({}).exit_code, not_run);
  EXPECT_EQ(parse({"--binary", "/bin/true", "--faults", "rubbish"}).exit_code, not_run);
  EXPECT_EQ(parse({"--binary", "/bin/true", "--controllers", "1"}).exit_code, not_run);
  EXPECT_EQ(parse({"--binary", "/no/such/file"}).exit_code, not_run);
  EXPECT_EQ(parse({"--help"}).exit_code, passed);
}

TEST(SoakOptions, FaultsAreChosenByName) {
  const auto all = parse({"--binary", "/bin/true"});
  ASSERT_TRUE(all.options);
  EXPECT_EQ(all.options->kinds.size(), all_fault_kinds().size());
  const auto two = parse({"--binary", "/bin/true", "--faults", "kill,late"});
  ASSERT_TRUE(two.options);
  EXPECT_EQ(two.options->kinds, (std::set{FaultKind::kill, FaultKind::late}));
}

TEST(SoakProxy, HoldsAndDelaysTraffic) {
  asio::io_context io;
  const net::HttpServer server(io, {asio::ip::address_v4::loopback(), 0}, {8, 1024},
                               [](const net::Request&, const net::Responder& respond) {
                                 respond({204, {}, 0});
                               });
  TcpProxy proxy(io, {asio::ip::address_v4::loopback(), server.port()});
  const auto port = proxy.address().substr(proxy.address().find(':') + 1);
  net::HttpClient client(
      io, {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(std::stoi(port))}, 4);
  int status = -1;
  const auto request = [&](double timeout_s) {
    status = -1;
    client.request("GET", "/", "", timeout_s,
                   [&](const net::Reply& reply) { status = reply.status; });
    while (status < 0) io.run_one();
  };
  request(2);
  EXPECT_EQ(status, 204);
  proxy.faults().hold_responses = true;
  request(0.1);
  EXPECT_EQ(status, 0);
  proxy.faults() = {};
  proxy.faults().delay_s = 0.05;
  const auto begin = std::chrono::steady_clock::now();
  request(2);
  EXPECT_EQ(status, 204);
  EXPECT_GE(std::chrono::steady_clock::now() - begin, std::chrono::milliseconds(100));
}

class SoakChild : public ::testing::Test {
 protected:
  SoakChild()
      : log_(std::filesystem::temp_directory_path() /
             ("soak-child-" + std::to_string(::getpid()))) {}
  ~SoakChild() override { std::filesystem::remove(log_); }
  std::filesystem::path log_;
};

TEST_F(SoakChild, ReportsAnUnexpectedExit) {
  ControllerChild child("/bin/false", "settings", log_);
  child.start();
  std::optional<std::string> end;
  for (int tries = 0; tries < 500 && !end; ++tries) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    end = child.unexpected_exit();
  }
  EXPECT_EQ(end, "exit status 1");
  EXPECT_FALSE(child.running());
}

TEST_F(SoakChild, AKilledProcessIsNotAnUnexpectedExit) {
  // Ends by itself only after a minute.
  const auto script = log_.string() + ".sh";
  std::ofstream(script) << "#!/bin/sh\nexec sleep 60\n";
  std::filesystem::permissions(script, std::filesystem::perms::owner_all);
  ControllerChild child(script, "settings", log_);
  child.start();
  EXPECT_TRUE(child.running());
  child.suspend();
  child.kill();
  EXPECT_FALSE(child.running());
  EXPECT_FALSE(child.unexpected_exit());
  std::filesystem::remove(script);
}

}  // namespace
}  // namespace elmstall::soak
