// Case 3: a report from before a lost lease, which reaches the next leader late, makes it start a task
// elsewhere that runs under the same attempt.
// With TROUBLE=0 no machine loses the network, no controller ends and no report is late.
#include "../stand/stand.hpp"

using namespace stand;

namespace {

constexpr double kFirstCut = 13;   // seconds; the site file has machine_cut for 30 s
constexpr double kSecondCut = 8;   // seconds, less than the lease of 10 s
constexpr double kBackAfter = 8;   // seconds after which a controller is started again: the brief

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
  record_file = std::fopen(argv[2], "w");
  if (record_file == nullptr) return 2;
  note("case 3, %s", trouble ? "with the troubles" : "without them (TROUBLE=0)");

  static Deployment site(argv[1], 3);
  auto& world = site.world;
  world.capacity = 3;
  site.start();
  int result = 2;
  std::string verdict = "could not run";
  const auto finish = [&] {
    note("verdict: %s", verdict.c_str());
    site.close();
    std::printf("%s\n", verdict.c_str());
    std::fflush(stdout);
    std::_Exit(result);
  };
  const auto give_up = [&](const char* why) {
    verdict = std::string("could not run: ") + why;
    finish();
  };
  const auto wait_for = [&](double seconds, const std::function<bool()>& condition) {
    const double until = now() + seconds;
    while (now() < until && !condition()) sleep_s(0.02);
    return condition();
  };
  if (!site.wait_until_ready(15)) give_up("the controllers did not become ready");

  // Three machines, which two jobs fill.
  auto long_tasks = renewnudge("job-000301", 4, 1000);
  set_field(long_tasks, "loaners", false);
  submit(world, long_tasks, 1000);
  if (!wait_for(15, [&] { return world.starts >= 4; })) give_up("the first job did not start");
  auto urgent = renewnudge("job-000302", 2, 20);
  set_field(urgent, "loaners", false);
  set_field(urgent, "rank", "critical");
  submit(world, urgent, 24);
  if (!wait_for(15, [&] { return world.starts >= 6; })) give_up("the second job did not start");
  sleep_s(6);

  // A replica needs room: a task of the first job is stopped for it. Its machine loses the network
  // as soon as the task has ended, before anybody hears of that.
  static std::mutex mutex;
  static std::string host, shard;
  world.on_kill = [&](const std::string& at, const std::string& task) {
    std::lock_guard<std::mutex> lock(mutex);
    if (!host.empty()) return false;
    host = at;
    shard = task;
    note("%s %s", at.c_str(), trouble ? "loses the network" : "goes on");
    return trouble;
  };
  submit(world, gatecheck("job-000303", 1), 0);
  const auto task_stopped = [&] {
    std::lock_guard<std::mutex> lock(mutex);
    return !host.empty();
  };
  if (!wait_for(10, task_stopped)) give_up("no task was stopped");
  const double stopped_at = now();
  Worker* machine = nullptr;
  {
    std::lock_guard<std::mutex> lock(world.mutex);
    machine = world.workers.at(host).get();
  }
  const auto index_of = [&](const std::string& name) {
    return static_cast<std::size_t>(
        std::find(world.node_names.begin(), world.node_names.end(), name) -
        world.node_names.begin());
  };
  const auto end_leader = [&] {
    const auto name = world.state.leader();
    const auto index = index_of(name);
    if (index >= site.controllers.size()) give_up("there is no leader to end");
    note("%s, the leader, ends", name.c_str());
    site.controllers[index]->kill();
    std::thread([index] {
      sleep_s(kBackAfter);
      site.controllers[index]->start();
      note("%s is started again", site.world.node_names[index].c_str());
    }).detach();
    return name;
  };
  if (!trouble) {
    sleep_s(45);
    result = world.broken.empty() ? 0 : 1;
    verdict = world.broken.empty() ? "held" : "broken: " + world.broken.front();
    finish();
  }
  sleep_s(1);
  end_leader();
  sleep_s(stopped_at + kFirstCut - now());
  machine->cut(false);
  note("%s has the network again", host.c_str());
  if (!wait_for(12, [&] { return machine->has(shard); })) give_up("the task did not start again");
  note("%s runs again on %s", shard.c_str(), host.c_str());
  // The second job ends, and leaves room on its machine.
  const auto second_job_done = [&] {
    sleep_s(0.5);
    return poll_job(world, index_of(world.state.leader()) % 3, "job-000302").status == "done";
  };
  if (!wait_for(30, second_job_done)) give_up("the second job did not end");
  sleep_s(3);
  const auto old_report = machine->held_report();
  note("%s loses the network again", host.c_str());
  machine->cut(true);
  const double cut_at = now();
  const auto second = end_leader();
  const auto third_leads = [&] {
    const auto name = world.state.leader();
    return !name.empty() && name != second;
  };
  if (!wait_for(7, third_leads)) give_up("no third leader in time");
  note("%s leads; the report that %s sent when %s had been stopped arrives now",
       world.state.leader().c_str(), host.c_str(), shard.c_str());
  sleep_s(0.2);
  // "An old report reaches every controller just as a new leader begins."
  for (std::size_t node = 0; node < world.node_names.size(); ++node) {
    if (world.node_names[node] == second) continue;
    std::thread([&world, node, old_report] {
      Client client(world.api_ports[node]);
      const auto reply = client.request("POST", "/v1/report", old_report, 4);
      note("old report at %s: %d", world.node_names[node].c_str(), reply.status);
    }).detach();
  }
  sleep_s(cut_at + kSecondCut - now());
  note("%s has the network again", host.c_str());
  machine->cut(false);
  sleep_s(4);
  result = world.broken.empty() ? 0 : 1;
  verdict = world.broken.empty() ? "held" : "broken: " + world.broken.front();
  finish();
}
