// Case 3: a job whose list of allowed machine types is empty runs on any type.
// With TROUBLE=0 the same job allows the type that there is.
#include "../stand/stand.hpp"

using namespace stand;

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
  record_file = std::fopen(argv[2], "w");
  if (record_file == nullptr) return 2;
  note("case 3, %s", trouble ? "with the submission in question" : "without it (TROUBLE=0)");

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
  note("all controllers are ready; the cloud has one machine type, vembanad-g12");
  submit(world, gatecheck("job-000301", 2), 0);
  const double until = now() + 12;
  while (now() < until && world.starts < 2) sleep_s(0.1);
  if (world.starts < 2) {
    verdict = "could not run: the first job did not start";
    finish();
  }

  // For comparison: a list that names no type of this cloud is refused in either run.
  auto other = renewnudge("job-000302", 2, 5);
  set_field(other, "builds", List{"sahyadri-g4"});
  note("job-000302 allows only a type that the cloud does not have: answered %d",
       submit(world, other, 5));

  auto odd = renewnudge("job-000303", 2, 5);
  set_field(odd, "builds", trouble ? List{} : List{"vembanad-g12"});
  const int before = world.starts;
  const int status = submit(world, odd, 5);
  note("job-000303 allows %s: answered %d", trouble ? "no type (an empty list)" : "vembanad-g12",
       status);
  const double watched_until = now() + 20;
  while (now() < watched_until && world.broken.empty()) {
    poll_job(world, 0, "job-000303");
    sleep_s(1);
  }
  if (!trouble && (status != 201 || world.starts < before + 2)) {
    verdict = "could not run: the job that allows the type did not start";
    finish();
  }
  result = world.broken.empty() ? 0 : 1;
  verdict = world.broken.empty() ? "held" : "broken: " + world.broken.front();
  finish();
}
