// Users submit five jobs of 100,000 tasks each, in a shape that the page of the protocol does not
// list. The platform kills a controller that holds more memory than its machine has, and starts it
// again. Beside them, a small array is submitted, which must complete.
#include <array>

#include "cases.hpp"
#include "fleet.hpp"

namespace review {
namespace {

constexpr int kLargeJobs = 5;
constexpr double kBackAfter = 8;  // s: "back about 8 s after an end"
constexpr double kObserved = 75;  // s after the submissions
constexpr const char* kSmall = "job-000700";

class Case {
 public:
  Case(asio::io_context& io, const Options& options)
      : options_(options), fleet_(io, options, site(), 3) {}

  int play() {
    for (std::size_t i = 0; i < Controllers::kCount; ++i) fleet_.controllers.start(i);
    fleet_.booted = [](Worker& worker) { worker.verbose = false; };
    fleet_.events.began = [this](const std::string& shard, std::uint64_t,
                                 const std::string& where) {
      if (shard.rfind(kSmall, 0) == 0) fleet_.run.note(where + ": " + shard + " runs");
    };
    fleet_.run.after(6, [this] {
      for (int n = 0; n < kLargeJobs; ++n) submit_large(n);
    });
    fleet_.run.after(12, [this] { submit_small(); });
    watch_memory();
    fleet_.run.after(12 + kObserved, [this] { judge(); });
    fleet_.run.io.run();
    return verdict_;
  }

  void end() {
    for (std::size_t i = 0; i < Controllers::kCount; ++i) fleet_.controllers.signal(i, 9);
  }

 private:
  static Site site() {
    Site site;
    site.teams = Fleet::teams();
    return site;
  }

  void finish(int verdict, const std::string& why) {
    verdict_ = verdict;
    fleet_.run.note((verdict == 0   ? "held: "
                     : verdict == 1 ? "BROKEN: "
                                    : "could not run: ") +
                    why);
    fleet_.run.io.stop();
  }

  // What the platform does with a process that holds too much.
  void watch_memory() {
    for (std::size_t i = 0; i < Controllers::kCount; ++i) {
      const double held = fleet_.controllers.memory_mb(i);
      most_[i] = std::max(most_[i], held);
      if (held <= site().memory_mb) continue;
      fleet_.run.note(fleet_.controllers.name(i) + ": holds " + std::to_string(held) + " MB of " +
                      std::to_string(site().memory_mb) + ", killed");
      ++kills_;
      fleet_.controllers.signal(i, 9);
      fleet_.run.after(kBackAfter, [this, i] { fleet_.controllers.start(i); });
    }
    fleet_.run.after(0.2, [this] { watch_memory(); });
  }

  // Sends a request to one controller after the other until it gets one of the expected answers.
  void until_answered(const std::string& what, const std::string& path, const std::string& body,
                      std::size_t node) {
    send(fleet_.run, fleet_.controllers.port(node % 3), "POST", path, body, 5,
         [=, this](int status, const std::string& answer) {
           fleet_.run.note("user: " + what + " -> " + std::to_string(status) + " " +
                           status_of(answer));
           if (status == 200 || status == 201) ++accepted_;
           if (status == 200 || status == 201 || status == 400 || status == 422) return;
           fleet_.run.after(1, [=, this] { until_answered(what, path, body, node + 1); });
         });
  }

  void submit_large(int n) {
    JobForm job;
    job.uid = "job-" + std::to_string(100500 + n);
    job.lane = "rosterfuse";
    job.owner = "clubinsight";
    job.shape = options_.trouble ? "group" : "batch";
    job.rank = "normal";
    job.shards = 100000;
    job.cores = 2;
    job.cards = 0;
    job.ram_gb = 12.8;
    job.pull_gb = 1;
    job.loaners = false;
    job.expect_s = 30;
    fleet_.jobs[job.uid] = {job, 30, 1, {}, {}};
    until_answered("submit " + job.uid + " as " + job.shape, "/api/jobs", pack(job),
                   static_cast<std::size_t>(n));
  }

  void submit_small() {
    JobForm job;
    job.uid = kSmall;
    job.lane = "renewnudge";
    job.owner = "dueskeepers";
    job.rank = "critical";
    job.shards = 3;
    fleet_.jobs[job.uid] = {job, 3, 1, {}, {}};
    until_answered("submit " + job.uid, "/api/jobs", pack(job), 0);
    fleet_.run.after(3, [this] { poll(0); });
  }

  void poll(std::size_t node) {
    send(fleet_.run, fleet_.controllers.port(node % 3), "GET", std::string("/api/jobs/") + kSmall,
         "", 2, [this, node](int status, const std::string& body) {
           fleet_.run.note("user: poll " + std::string(kSmall) + " at " +
                           fleet_.controllers.name(node % 3) + " -> " + std::to_string(status) +
                           " " + status_of(body));
           if (status_of(body) == "done") {
             done_ = true;
             return;
           }
           fleet_.run.after(5, [this, node] { poll(node + 1); });
         });
  }

  void judge() {
    for (std::size_t i = 0; i < Controllers::kCount; ++i)
      fleet_.run.note(fleet_.controllers.name(i) + ": held " + std::to_string(most_[i]) +
                      " MB at most");
    const std::string small = std::string(kSmall) + (done_ ? " is done" : " is not done");
    if (kills_ > 0)
      return finish(1, std::to_string(kills_) + " ends of controllers for memory; " + small);
    if (!done_) return finish(2, small + ", although no controller ended");
    finish(0, "no controller ended for memory; " + small);
  }

  const Options& options_;
  Fleet fleet_;
  std::array<double, Controllers::kCount> most_{};
  int kills_ = 0;
  int accepted_ = 0;
  bool done_ = false;
  int verdict_ = 2;
};

}  // namespace

int memory_of_groups(const Options& options) {
  asio::io_context io(1);
  // Not destroyed: callbacks of sockets still refer to it when the program ends.
  auto* const one = new Case(io, options);
  const int verdict = one->play();
  one->end();
  return verdict;
}

}  // namespace review
