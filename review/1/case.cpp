// Case 1: one submission whose tasks take nothing stops every controller for good.
// With TROUBLE=0 the same job takes a tenth of a core.
#include "../stand/stand.hpp"

using namespace stand;

namespace {

/// A job about which no question is answered for this long is forgotten (the users' page on
/// meetings of troubles).
constexpr double kForgottenAfter = 75;

struct Watched {
  std::string uid;
  double answered_at = 0;
  int answered = 0, unanswered = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
  record_file = std::fopen(argv[2], "w");
  if (record_file == nullptr) return 2;
  note("case 1, %s", trouble ? "with the submission in question" : "without it (TROUBLE=0)");

  static Deployment site(argv[1], 3);
  auto& world = site.world;
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
  if (!site.wait_until_ready(15)) {
    verdict = "could not run: the controllers did not become ready";
    finish();
  }
  note("all controllers are ready");
  std::vector<Watched> jobs;
  const auto accept = [&](const Map& job, double run_s) {
    const int status = submit(world, job, run_s);
    if (status == 200 || status == 201) jobs.push_back({Value(job).str("uid"), now()});
    return status;
  };
  accept(gatecheck("job-000101", 1), 0);
  accept(gatecheck("job-000102", 2), 0);
  accept(renewnudge("job-000103", 2, 300), 300);
  const double until = now() + 12;
  while (now() < until && world.starts < 5) sleep_s(0.2);
  if (jobs.size() != 3 || world.starts < 5) {
    verdict = "could not run: the first jobs were not accepted and started";
    finish();
  }

  auto odd = renewnudge("job-000104", 1, 5);
  set_field(odd, "together", true);
  set_field(odd, "cores", trouble ? 0.0 : 0.1);
  set_field(odd, "cards", 0.0);
  set_field(odd, "ram_gb", 0.0);
  const int status = accept(odd, 5);
  note("job-000104 (cores %.1f, cards 0.0, ram_gb 0.0, together) was answered %d", trouble ? 0.0 : 0.1,
       status);
  const double began = now();
  for (auto& job : jobs) job.answered_at = now();

  // Each job's user asks about every 5 s. The question goes to all controllers, so that one healthy
  // controller would do; an answer of any of them counts.
  bool forgotten = false;
  double next_note = now();
  while (!forgotten && now() < began + kForgottenAfter + 8) {
    const double round = now();
    std::vector<std::thread> users;
    for (auto& job : jobs) {
      users.emplace_back([&world, &job] {
        std::atomic<bool> any{false};
        std::vector<std::thread> asks;
        for (std::size_t node = 0; node < world.api_ports.size(); ++node)
          asks.emplace_back([&, node] {
            const auto poll = poll_job(world, node, job.uid);
            if (poll.http == 200 || poll.http == 404) any = true;
          });
        for (auto& ask : asks) ask.join();
        if (any) {
          job.answered_at = now();
          ++job.answered;
        } else {
          ++job.unanswered;
        }
      });
    }
    for (auto& user : users) user.join();
    for (const auto& job : jobs) {
      if (now() - job.answered_at < kForgottenAfter) continue;
      world.break_rule("forgotten: no question about " + job.uid + " was answered for 75 s");
      forgotten = true;
    }
    if (now() >= next_note) {
      next_note = now() + 10;
      for (std::size_t k = 0; k < site.controllers.size(); ++k)
        note("%s: /ready %s, %.1f s of processor time so far%s", world.node_names[k].c_str(),
             site.ready(k) ? "200" : "not answered with 200", site.controllers[k]->cpu_s(),
             site.controllers[k]->ended() ? ", ended" : "");
    }
    sleep_s(5 - (now() - round));
  }
  for (const auto& job : jobs)
    note("%s: %d rounds of questions answered, %d not", job.uid.c_str(), job.answered,
         job.unanswered);
  result = world.broken.empty() ? 0 : 1;
  verdict = world.broken.empty() ? "held" : "broken: " + world.broken.front();
  finish();
}
