// Case 2: a controller that ends and is back at once passes the leader's answer for one worker on
// to another worker, which then runs a task that was placed elsewhere.
// With TROUBLE=0 no controller ends or stands still.
#include "../stand/stand.hpp"

using namespace stand;

namespace {

constexpr int kMachines = 24;         // for arrays, and up to 3 more; the brief: up to about 28
constexpr int kTasks = 6;             // of each job that is submitted in a round
constexpr int kRounds = 6;
constexpr double kBackAfter = 0.1;    // seconds; "within a fraction of a second"
constexpr double kStandsStill = 2.55; // seconds; the pages have 5 and more
constexpr double kSecondEnd = 0.9;    // seconds after the leader began to stand still
/// Seconds after a renewal of the leader's lease (3 s) from which a round is not worth while: the
/// leader would lose its lease while it stands still.
constexpr double kLatestFreeze = 0.4;

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
  record_file = std::fopen(argv[2], "w");
  if (record_file == nullptr) return 2;
  note("case 2, %s", trouble ? "with the troubles" : "without them (TROUBLE=0)");

  static Deployment site(argv[1], 3);
  auto& world = site.world;
  world.capacity = kMachines + 3;
  int result = 2;
  std::string verdict = "could not run";
  const auto finish = [&] {
    note("verdict: %s", verdict.c_str());
    site.close();
    std::printf("%s\n", verdict.c_str());
    std::fflush(stdout);
    std::_Exit(result);
  };
  // stallhost-0 and -2 are in kochi-east, stallhost-1 alone in kollam-south. The first one started
  // leads.
  auto& leader = *site.controllers[0];
  auto& follower = *site.controllers[1];
  leader.start();
  double until = now() + 10;
  while (now() < until && world.state.leader().empty()) sleep_s(0.05);
  site.controllers[1]->start();
  site.controllers[2]->start();
  if (!site.wait_until_ready(10) || world.state.leader() != "stallhost-0") {
    verdict = "could not run: stallhost-0 does not lead three ready controllers";
    finish();
  }
  note("all controllers are ready, stallhost-0 leads");

  // A long task on each machine. It leaves room for one more there, and brings the image.
  submit(world, gatecheck("job-000203", 1), 0);
  for (const char* uid : {"job-000201", "job-000202"}) {
    auto base = renewnudge(uid, kMachines / 2, 1000);
    set_field(base, "cores", 7.0);
    submit(world, base, 1000);
  }
  until = now() + 20;
  while (now() < until && world.starts < kMachines + 1) sleep_s(0.2);
  if (world.starts < kMachines + 1) {
    verdict = "could not run: the first jobs did not start";
    finish();
  }
  sleep_s(14);  // all workers have settled at a controller of their zone

  static std::mutex mutex;
  static std::string watched;
  static std::atomic<bool> recorded{false};
  static std::atomic<double> recorded_at{0};
  world.state.on_applied = [&](const Value& transaction) {
    std::lock_guard<std::mutex> lock(mutex);
    if (watched.empty() || tasks_placed(transaction, watched) < kTasks) return;
    sleep_s(0.02);  // an answer of the state service that takes 20 ms
    if (trouble) {
      leader.stop();
      note("stallhost-0 stands still (the answer that %s is recorded comes now)", watched.c_str());
    }
    recorded_at = now();
    watched.clear();
    recorded = true;
  };
  int rounds = 0;
  for (int round = 1; round <= kRounds && world.broken.empty() && now() < 96; ++round) {
    const auto uid = "job-00021" + std::to_string(round);
    auto job = renewnudge(uid, kTasks, 6);
    set_field(job, "yard", "kollam-south");
    const double seen = world.state.lead_renewed_at;
    while (world.state.lead_renewed_at == seen) sleep_s(0.001);
    const double last = world.state.lead_renewed_at;
    sleep_s(last + 0.72 - now());
    if (trouble) {
      note("stallhost-1 ends");
      follower.kill();
      sleep_s(kBackAfter);
      follower.start();
      note("stallhost-1 is started again");
    }
    until = now() + 5;
    while (world.state.lead_renewed_at == last && now() < until) sleep_s(0.001);
    recorded = false;
    {
      std::lock_guard<std::mutex> lock(mutex);
      watched = uid;
    }
    upload(world, job, 5);
    Client user(world.api_ports[2]);
    const auto reply = user.request("POST", "/api/jobs", packed(Value(job)), 5);
    note("submit %s at stallhost-2: %d", uid.c_str(), reply.status);
    until = now() + 2;
    while (!recorded && now() < until) sleep_s(0.001);
    const bool in_time = recorded && recorded_at - world.state.lead_renewed_at <= kLatestFreeze;
    if (trouble && in_time) {
      ++rounds;
      sleep_s(recorded_at + kSecondEnd - now());
      note("stallhost-1 ends");
      follower.kill();
      sleep_s(kBackAfter);
      follower.start();
      note("stallhost-1 is started again");
      sleep_s(recorded_at + kStandsStill - now());
      note("stallhost-0 goes on");
    }
    if (trouble) leader.resume();
    {
      std::lock_guard<std::mutex> lock(mutex);
      watched.clear();
    }
    until = now() + 13;
    while (now() < until && world.broken.empty()) sleep_s(0.05);
    note("round %d is over, %s leads", round, world.state.leader().c_str());
    if (world.state.leader() != "stallhost-0") break;
  }
  if (world.broken.empty() && trouble && rounds == 0) {
    verdict = "could not run: no round in which the leader stood still in time";
    finish();
  }
  result = world.broken.empty() ? 0 : 1;
  verdict = world.broken.empty() ? "held" : "broken: " + world.broken.front();
  finish();
}
