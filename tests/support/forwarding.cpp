#include "support/forwarding.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "store/records.hpp"
#include "support/requests.hpp"

namespace elmstall::test {
namespace {

constexpr double kSettled = 10;       // seconds until a controller leads and all are connected
constexpr double kFreeze = 1.5;       // seconds; the leader keeps its lease
constexpr double kRestart = 0.05;     // seconds
constexpr double kUntilLoaded = 0.6;  // seconds after which a restarted node forwards heartbeats

/// A heartbeat of a machine that runs a task which no record knows, so that the leader's reply
/// stops that task. The task's job is named after the machine.
wire::WorkerHeartbeat heartbeat_with_unknown_task(int machine, const std::string& zone) {
  const auto number = std::to_string(machine);
  const auto id = "host-9" + number;
  return {id,
          id,
          "m12",
          zone,
          false,
          1,
          1,
          0,
          std::nullopt,
          {{"job-9" + number, 0, 1, wire::TaskState::running, wire::EndCause::none, false}}};
}

/// The node that leads, of whichever version, according to the records.
std::size_t leading_node(const World& world) {
  const auto& item = world.state.items().at(std::string(store::kLeadKey));
  return node_index(store::decode_lead(item.value).node);
}

}  // namespace

void expect_replies_reach_their_own_workers(World& world, int earlier, int later) {
  world.cloud.capacity = 0;  // no other machine sends heartbeats
  world.run_until(kSettled);
  const auto lead = leading_node(world);
  const std::size_t follower = lead == 0 ? 1 : 0;
  const auto zone = world.processes.at(follower).settings.zone;
  world.upgrade(follower);
  world.crash(follower, kRestart);
  world.run_for(kUntilLoaded + kRestart);
  world.freeze(lead, kFreeze);
  std::map<int, std::vector<wire::WorkerCommand>> commands;  // by machine
  int replies = 0;
  const auto send = [&](int machine) {
    const auto heartbeat = heartbeat_with_unknown_task(machine, zone);
    world.send_to_node(follower, heartbeat_request(heartbeat),
                       [&commands, &replies, machine](const net::Response& response) {
                         if (response.status != 200) return;
                         ++replies;
                         commands[machine] = commands_in(response);
                       });
  };
  for (int machine = 1; machine <= earlier; ++machine) send(machine);
  world.run_for(0.2);
  world.crash(follower, kRestart);
  world.run_for(kUntilLoaded + kRestart);
  for (int machine = 1; machine <= later; ++machine) send(earlier + machine);
  world.run_for(3);
  EXPECT_EQ(replies, later) << "the workers of the earlier process can't be replied to";
  for (const auto& [machine, received] : commands) {
    for (const auto& command : received)
      EXPECT_EQ(command.job, "job-9" + std::to_string(machine))
          << "machine " << machine
          << " received a command for another one; heartbeats forwarded: " << earlier
          << " before the restart, " << later << " after it";
  }
}

}  // namespace elmstall::test
